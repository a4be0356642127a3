package batch

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"strings"
	"sync"
)

// flateWriters pools compressors, since each takes about 1 MB.
var flateWriters sync.Pool

// Compress returns a text in compressed form (DEFLATE, RFC 1951). Texts make up most of
// the data in the log, on disk and in memory. The fast level costs the leader about 10 ms
// per megabyte.
func Compress(text string) ([]byte, error) {
	var out bytes.Buffer
	w, ok := flateWriters.Get().(*flate.Writer)
	if !ok {
		var err error
		if w, err = flate.NewWriter(&out, flate.BestSpeed); err != nil {
			return nil, err
		}
	}
	defer flateWriters.Put(w)
	w.Reset(&out)
	if _, err := io.WriteString(w, text); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return bytes.Clone(out.Bytes()), nil
}

func decompress(data []byte) (string, error) {
	var out strings.Builder
	_, err := io.Copy(&out, flate.NewReader(bytes.NewReader(data)))
	return out.String(), err
}

// Compress replaces the text by its compressed form if that is shorter.
func (r *Result) Compress() error {
	packed, err := Compress(r.Text)
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
