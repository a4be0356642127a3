package batch

import (
	"fmt"
	"math"

	"github.com/plantainbank/plantainbank/pkg/process/deflate"
)

// decompress returns a text that was compressed. Texts make up most of the data in the log, on
// disk and in memory.
func decompress(data []byte) (string, error) {
	text, err := deflate.Decompress(data, math.MaxInt-1)
	return string(text), err
}

// Compress replaces the text by its compressed form if that is shorter.
func (r *Result) Compress() error {
	packed, err := deflate.Compress(r.Text)
	if err == nil && len(packed) < len(r.Text) {
		r.Compressed, r.Text = packed, ""
	}
	return err
}

// FullText returns the text, decompressed if necessary.
func (r *Result) FullText() (string, error) {
	if r.Compressed == nil {
		return r.Text, nil
	}
	text, err := decompress(r.Compressed)
	if err != nil {
		return "", fmt.Errorf("decompress text of item %s: %w", r.Item, err)
	}
	return text, nil
}
