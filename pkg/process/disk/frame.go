package disk

import (
	"encoding/binary"

	"github.com/zeebo/xxh3"
)

// readFrame returns the body and size of the first frame, or the reason why the frame is
// invalid.
func readFrame(data []byte) (body []byte, size int, reason string) {
	if len(data) < frameHeaderBytes {
		return nil, 0, "short frame header"
	}
	n := int(binary.LittleEndian.Uint32(data))
	if n == 0 || n > maxFrameBytes {
		return nil, 0, "bad frame length"
	}
	if len(data) < frameHeaderBytes+n {
		return nil, 0, "short frame"
	}
	body = data[frameHeaderBytes : frameHeaderBytes+n]
	if xxh3.Hash(body) != binary.LittleEndian.Uint64(data[4:]) {
		return nil, 0, "checksum mismatch"
	}
	return body, frameHeaderBytes + n, ""
}

// tornTail reports whether data, which starts with an invalid frame, can result from a write
// that a crash interrupted: no valid frame follows.
func tornTail(data []byte) bool {
	if len(data) < frameHeaderBytes {
		return true
	}
	for i := 1; i+frameHeaderBytes < len(data); i++ {
		if _, _, reason := readFrame(data[i:]); reason == "" {
			return false
		}
	}
	return true
}

// frameWriter writes the body of a frame and computes the size and checksum for its header.
type frameWriter struct {
	write func(p []byte) (int, error)
	hash  *xxh3.Hasher
	size  int
}

// Write writes a part of the body.
func (x *frameWriter) Write(p []byte) (int, error) {
	n, err := x.write(p)
	x.size += n
	if err == nil {
		_, err = x.hash.Write(p[:n])
	}
	return n, err
}

// header returns the header for the body written so far.
func (x *frameWriter) header() []byte {
	p := make([]byte, frameHeaderBytes)
	binary.LittleEndian.PutUint32(p, uint32(x.size))
	binary.LittleEndian.PutUint64(p[4:], x.hash.Sum64())
	return p
}

// putHeader writes the header of a frame with the given body to the beginning of p.
func putHeader(p, body []byte) {
	binary.LittleEndian.PutUint32(p, uint32(len(body)))
	binary.LittleEndian.PutUint64(p[4:], xxh3.Hash(body))
}
