package batch

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"strings"
	"sync"
)

// packers keeps compressors, which take about a megabyte each.
var packers sync.Pool

// Pack returns a text in compressed form (RFC 1951): texts make up most of what
// the log, the disks and the memory hold. The fast level costs the leader about
// 10 ms a megabyte.
func Compress(text string) ([]byte, error) {
	var out bytes.Buffer
	w, ok := packers.Get().(*flate.Writer)
	if !ok {
		var err error
		if w, err = flate.NewWriter(&out, flate.BestSpeed); err != nil {
			return nil, err
		}
	}
	defer packers.Put(w)
	w.Reset(&out)
	if _, err := io.WriteString(w, text); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return bytes.Clone(out.Bytes()), nil
}

func unpack(data []byte) (string, error) {
	var out strings.Builder
	_, err := io.Copy(&out, flate.NewReader(bytes.NewReader(data)))
	return out.String(), err
}

// Pack replaces the text by its compressed form if that is shorter.
func (r *Result) Compress() error {
	packed, err := Compress(r.Text)
	if err == nil && len(packed) < len(r.Text) {
		r.Compressed, r.Text = packed, ""
	}
	return err
}

// FullText returns the text.
func (r *Result) FullText() (string, error) {
	if r.Compressed == nil {
		return r.Text, nil
	}
	text, err := unpack(r.Compressed)
	if err != nil {
		return "", fmt.Errorf("the text of item %s can not be unpacked: %w", r.Item, err)
	}
	return text, nil
}
