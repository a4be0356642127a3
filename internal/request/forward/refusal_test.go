package forward

import (
	"context"
	"fmt"
	"net/http"
	"testing"

	"github.com/plantainbank/plantainbank/internal/version/routing"
)

// TestFalsePromisesAreWithheld guards against a request that must not be repeated and runs twice, since a server ran it
// and answered with a status by which callers repeat it.
func TestFalsePromisesAreWithheld(t *testing.T) {
	for _, c := range []struct {
		kind      routing.Kind
		streaming bool
		status    int
		notRun    bool
		want      int  // the status that the caller gets
		ofServer  bool // whether the caller gets the response of the server
	}{
		{routing.Once, false, 503, false, 502, false},
		{routing.Once, false, 429, false, 502, false},
		{routing.Once, false, 408, false, 502, false},
		{routing.Once, true, 503, false, 502, false},
		{routing.Once, false, 503, true, 503, false}, // no server took it
		{routing.Once, false, 500, false, 500, true},
		{routing.Once, false, 504, false, 504, true},
		{routing.Once, false, 404, false, 404, true},
		{routing.Once, false, 200, false, 200, true},
		{routing.Idempotent, false, 503, false, 503, true},
		{routing.Idempotent, false, 429, false, 429, true},
	} {
		response := fmt.Sprintf("HTTP/1.1 %d X\r\nX-Request: ID\r\nX-Signature: s\r\nContent-Length: 2\r\n", c.status)
		if c.notRun {
			response += "X-Not-Run: 1\r\n"
		}
		response += "\r\n{}"
		f := startScript(t, []string{response, response, response, response, response, response})
		r := newRequest("r", "ok")
		r.Route.Kind, r.Route.Streaming, r.Route.MaxAttempts = c.kind, c.streaming, 1
		a := f.Do(context.Background(), r)
		status := a.Status
		if a.Response != nil {
			status = a.Response.StatusCode()
		}
		if status != c.want || (a.Response != nil) != c.ofServer || a.Response != nil && string(a.Response.Body()) != "{}" {
			t.Errorf("%s, streaming %v, %d, not run %v: got %d %q, of the server %v", c.kind, c.streaming, c.status, c.notRun, status, a.Reason, a.Response != nil)
		}
		if status == http.StatusBadGateway && a.RetryAfter != 0 {
			t.Errorf("%s, %d: Retry-After %v with a status that promises nothing", c.kind, c.status, a.RetryAfter)
		}
	}
}
