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

// Pack replaces the text by its compressed form (RFC 1951) if that is shorter:
// texts make up most of what the log, the disks and the memory hold. The fast
// level costs the leader about 10 ms a megabyte.
func (r *Result) Pack() error {
	var out bytes.Buffer
	w, ok := packers.Get().(*flate.Writer)
	if !ok {
		var err error
		if w, err = flate.NewWriter(&out, flate.BestSpeed); err != nil {
			return err
		}
	}
	defer packers.Put(w)
	w.Reset(&out)
	if _, err := io.WriteString(w, r.Text); err != nil {
		return err
	}
	if err := w.Close(); err != nil {
		return err
	}
	if out.Len() < len(r.Text) {
		r.Packed, r.Text = bytes.Clone(out.Bytes()), ""
	}
	return nil
}

// FullText returns the text.
func (r *Result) FullText() (string, error) {
	if r.Packed == nil {
		return r.Text, nil
	}
	var out strings.Builder
	if _, err := io.Copy(&out, flate.NewReader(bytes.NewReader(r.Packed))); err != nil {
		return "", fmt.Errorf("the text of item %s can not be unpacked: %w", r.Item, err)
	}
	return out.String(), nil
}
