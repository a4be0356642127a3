package disk

import (
	"encoding/binary"

	"github.com/zeebo/xxh3"
)

// readFrame returns the first frame's body and size, or why it is not whole.
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

// tornTail reports whether a write that was cut by a crash explains data,
// which starts with a bad frame: no whole frame follows it.
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

// frameWriter passes a frame's body on and keeps what its header needs.
type frameWriter struct {
	write func(p []byte) (int, error)
	hash  *xxh3.Hasher
	size  int
}

// Write passes a piece of the body on.
func (x *frameWriter) Write(p []byte) (int, error) {
	n, err := x.write(p)
	x.size += n
	if err == nil {
		_, err = x.hash.Write(p[:n])
	}
	return n, err
}

// header returns the header of the frame that was written.
func (x *frameWriter) header() []byte {
	p := make([]byte, frameHeaderBytes)
	binary.LittleEndian.PutUint32(p, uint32(x.size))
	binary.LittleEndian.PutUint64(p[4:], x.hash.Sum64())
	return p
}

func frame(body []byte) []byte {
	p := make([]byte, frameHeaderBytes, frameHeaderBytes+len(body))
	binary.LittleEndian.PutUint32(p, uint32(len(body)))
	binary.LittleEndian.PutUint64(p[4:], xxh3.Hash(body))
	return append(p, body...)
}
