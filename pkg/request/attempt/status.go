package attempt

import (
	"bytes"
	"fmt"

	"github.com/valyala/fasthttp"
	"golang.org/x/net/http/httpguts"
)

// StatusError reports a response whose status is none that a final or an informational response may
// have (RFC 9110, section 15).
type StatusError struct{ Status string }

func (e *StatusError) Error() string {
	return fmt.Sprintf("response has the invalid status %q", e.Status)
}

// maxStatusBytes bounds the status in an error.
const maxStatusBytes = 32

func parseStatusLine(line []byte) (int, error) {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	if !bytes.HasPrefix(version, []byte("HTTP/1.")) || !httpguts.ValidHeaderFieldValue(string(line)) {
		return 0, newHeaderLineError(line)
	}
	text, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	status := 0
	for _, c := range text {
		if c < '0' || c > '9' || len(text) != 3 {
			return 0, &StatusError{string(text[:min(len(text), maxStatusBytes)])}
		}
		status = 10*status + int(c-'0')
	}
	// No request asks for another protocol.
	if status < fasthttp.StatusContinue || status > 599 || status == fasthttp.StatusSwitchingProtocols {
		return 0, &StatusError{string(text)}
	}
	return status, nil
}
