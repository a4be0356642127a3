package forward

import (
	"strings"

	"github.com/valyala/fasthttp"
)

// hopByHop lists the hop-by-hop headers (RFC 9110, section 7.6.1).
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// hopHeaders returns the names of the request headers that must not be forwarded.
func hopHeaders(h *fasthttp.RequestHeader) []string {
	return append(strings.FieldsFunc(string(h.Peek("Connection")), isSeparator), hopByHop...)
}

func isSeparator(r rune) bool { return r == ',' || r == ' ' }

// CopyResponse copies the status and the end-to-end headers of a server's response to the
// caller's. It does not copy the body, nor Content-Length and Date.
func CopyResponse(to, from *fasthttp.Response) {
	skip := map[string]bool{"Content-Length": true, "Date": true}
	for _, name := range hopByHop {
		skip[name] = true
	}
	for _, name := range strings.FieldsFunc(string(from.Header.Peek("Connection")), isSeparator) {
		skip[name] = true
	}
	to.SetStatusCode(from.StatusCode())
	for key, value := range from.Header.All() {
		if !skip[string(key)] {
			to.Header.AddBytesKV(key, value)
		}
	}
}
