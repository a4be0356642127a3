package batch

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func TestPackedTextIsTheSame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.String().Draw(t, "text") + strings.Repeat(rapid.StringN(0, 20, 40).Draw(t, "part"), rapid.IntRange(0, 200).Draw(t, "times"))
		r := Result{Item: "i", Text: text}
		if err := r.Pack(); err != nil {
			t.Fatal(err)
		}
		got, err := r.FullText()
		if err != nil || got != text {
			t.Fatalf("got %q, %v", got, err)
		}
		if len(r.Packed) >= len(text) && r.Packed != nil {
			t.Fatal("the packed form is no shorter")
		}
	})
}

func TestDamagedTextIsAnError(t *testing.T) {
	r := Result{Item: "i", Text: strings.Repeat("menu ", 100)}
	if err := r.Pack(); err != nil {
		t.Fatal(err)
	}
	r.Packed = r.Packed[:len(r.Packed)/2]
	if _, err := r.FullText(); err == nil {
		t.Fatal("half a text was taken for the whole")
	}
}
