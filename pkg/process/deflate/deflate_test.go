package deflate

import (
	"bytes"
	"errors"
	"strings"
	"testing"
)

func TestRoundTrip(t *testing.T) {
	for _, text := range []string{"", "a", strings.Repeat("route ", 100_000)} {
		packed, err := Compress(text)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Decompress(packed, len(text))
		if err != nil || string(got) != text {
			t.Errorf("%d bytes came back as %d, error %v", len(text), len(got), err)
		}
	}
}

func TestDecompressedLengthIsBounded(t *testing.T) {
	packed, err := Compress(bytes.Repeat([]byte{0}, 1<<20))
	if err != nil {
		t.Fatal(err)
	}
	var tooLong *TooLongError
	if _, err := Decompress(packed, 1<<20-1); !errors.As(err, &tooLong) || tooLong.Max != 1<<20-1 {
		t.Errorf("got %v, want a *TooLongError", err)
	}
	if _, err := Decompress(packed[:len(packed)/2], 1<<20); err == nil {
		t.Error("data that was cut off was decompressed")
	}
}
