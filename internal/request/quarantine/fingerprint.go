package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/valyala/fasthttp"
)

// Fingerprint identifies requests of one workspace with the same method, host, path and
// body. It is collision resistant, so that no workspace can block the requests of another.
type Fingerprint [16]byte

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(workspace string, req *fasthttp.Request) Fingerprint {
	h := sha256.New()
	var length [8]byte
	for _, part := range [][]byte{[]byte(workspace), req.Header.Method(), req.Header.Host(), req.Header.RequestURI(), req.Body()} {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write(part)
	}
	var f Fingerprint
	copy(f[:], h.Sum(nil))
	return f
}

func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }
