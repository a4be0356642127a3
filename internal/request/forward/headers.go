package forward

import (
	"strings"

	"github.com/valyala/fasthttp"
)

// hopByHop headers concern one connection only (RFC 9110, section 7.6.1).
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// hopHeaders lists the headers of a request that must not be passed on.
func hopHeaders(h *fasthttp.RequestHeader) []string {
	return append(strings.FieldsFunc(string(h.Peek("Connection")), isSeparator), hopByHop...)
}

func isSeparator(r rune) bool { return r == ',' || r == ' ' }

// CopyResponse fills the caller's response from a server's: the status, the
// body and all headers that do not concern one connection only.
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
