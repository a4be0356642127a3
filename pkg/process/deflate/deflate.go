// Package deflate compresses and decompresses byte strings (DEFLATE, RFC 1951).
package deflate

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"sync"
)

// writers pools compressors, since each takes about 1 MB.
var writers sync.Pool

// TooLongError reports compressed data that is longer than allowed once it is decompressed.
type TooLongError struct {
	// Max is the allowed length in bytes.
	Max int
}

func (e *TooLongError) Error() string { return fmt.Sprintf("more than %d bytes decompressed", e.Max) }

// Compress returns data in compressed form. The fast level takes about 10 ms per megabyte.
func Compress[T string | []byte](data T) ([]byte, error) {
	var out bytes.Buffer
	w, ok := writers.Get().(*flate.Writer)
	if !ok {
		var err error
		if w, err = flate.NewWriter(&out, flate.BestSpeed); err != nil {
			return nil, err
		}
	}
	defer writers.Put(w)
	w.Reset(&out)
	if _, err := w.Write([]byte(data)); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return bytes.Clone(out.Bytes()), nil
}

// Decompress returns the data that was compressed. Data longer than most bytes gives a
// *TooLongError.
func Decompress(data []byte, most int) ([]byte, error) {
	var out bytes.Buffer
	n, err := io.Copy(&out, io.LimitReader(flate.NewReader(bytes.NewReader(data)), int64(most)+1))
	if err != nil {
		return nil, err
	}
	if n > int64(most) {
		return nil, &TooLongError{most}
	}
	return out.Bytes(), nil
}
