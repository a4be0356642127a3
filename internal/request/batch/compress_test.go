package batch

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func TestCompressRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.String().Draw(t, "text") + strings.Repeat(rapid.StringN(0, 20, 40).Draw(t, "part"), rapid.IntRange(0, 200).Draw(t, "times"))
		r := Result{Item: "i", Text: text}
		if err := r.Compress(); err != nil {
			t.Fatal(err)
		}
		got, err := r.FullText()
		if err != nil || got != text {
			t.Fatalf("got %q, %v", got, err)
		}
		if len(r.Compressed) >= len(text) && r.Compressed != nil {
			t.Fatal("the compressed form is not shorter")
		}
	})
}

func TestDecompressTruncated(t *testing.T) {
	r := Result{Item: "i", Text: strings.Repeat("menu ", 100)}
	if err := r.Compress(); err != nil {
		t.Fatal(err)
	}
	r.Compressed = r.Compressed[:len(r.Compressed)/2]
	if _, err := r.FullText(); err == nil {
		t.Fatal("a truncated text was decompressed without an error")
	}
}
