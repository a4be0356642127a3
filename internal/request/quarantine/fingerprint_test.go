package quarantine

import (
	"testing"

	"github.com/valyala/fasthttp"
)

func newRequest(method, host, uri, body, id string) *fasthttp.Request {
	req := &fasthttp.Request{}
	req.Header.SetMethod(method)
	req.Header.SetHost(host)
	req.Header.SetRequestURI(uri)
	req.Header.Set("Request-Id", id)
	req.SetBodyString(body)
	return req
}

func TestFingerprintFollowsContent(t *testing.T) {
	base := FingerprintOf("w", newRequest("POST", "h.example", "/a/?x=1", "body", "1"))
	for _, c := range []struct {
		name      string
		workspace string
		req       *fasthttp.Request
		same      bool
	}{
		{"another request ID", "w", newRequest("POST", "h.example", "/a/?x=1", "body", "2"), true},
		{"another workspace", "v", newRequest("POST", "h.example", "/a/?x=1", "body", "1"), false},
		{"another method", "w", newRequest("PUT", "h.example", "/a/?x=1", "body", "1"), false},
		{"another host", "w", newRequest("POST", "i.example", "/a/?x=1", "body", "1"), false},
		{"another query", "w", newRequest("POST", "h.example", "/a/?x=2", "body", "1"), false},
		{"another body", "w", newRequest("POST", "h.example", "/a/?x=1", "bodx", "1"), false},
		{"bytes moved from one part to the next", "w", newRequest("POST", "h.example", "/a/?x=", "1body", "1"), false},
		{"bytes moved from the workspace to the method", "", newRequest("wPOST", "h.example", "/a/?x=1", "body", "1"), false},
	} {
		if got := FingerprintOf(c.workspace, c.req) == base; got != c.same {
			t.Errorf("%s: same fingerprint is %v, want %v", c.name, got, c.same)
		}
	}
}
