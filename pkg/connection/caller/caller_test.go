package caller_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"

	"github.com/plantainbank/plantainbank/internal/standin"
	"github.com/plantainbank/plantainbank/pkg/connection/backendserver"
	"github.com/plantainbank/plantainbank/pkg/connection/caller"
	"github.com/plantainbank/plantainbank/pkg/process/settings"
	"github.com/plantainbank/plantainbank/pkg/process/trace"
	"github.com/plantainbank/plantainbank/pkg/request/attempt"
	"github.com/plantainbank/plantainbank/pkg/request/dispatch"
	"github.com/plantainbank/plantainbank/pkg/version/record"
	"github.com/plantainbank/plantainbank/pkg/version/view"
)

// Keys of two workspaces, and one without a record.
const (
	keyA     = "pbk_a_0123456789abcdef"
	keyB     = "pbk_b_fedcba9876543210"
	keyWrong = "pbk_a_guessguessguess0"
)

// testHost is the callers' listener of an entry host with one plain service and one
// engine.
type testHost struct {
	addr       string
	service    *standin.Service
	engine     *standin.Engine
	handler    *caller.Handler
	leaseValid atomic.Bool
	view       atomic.Pointer[view.View]
}

func rec(kind, name, spec string) record.Record {
	return record.Record{Kind: kind, Name: name, Schema: record.NewestSchema(kind), Spec: json.RawMessage(spec)}
}

func newHost(t *testing.T) *testHost {
	t.Helper()
	h := &testHost{}
	var err error
	if h.service, err = standin.StartService(standin.ServiceConfig{Base: standin.Base{ID: "s", Addr: "127.0.0.1:0", Capacity: 8}}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.service.Close)
	if h.engine, err = standin.StartEngine(standin.EngineConfig{Base: standin.Base{ID: "e", Addr: "127.0.0.1:0", Capacity: 8}, TokenTime: time.Millisecond}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.engine.Close)
	h.leaseValid.Store(true)
	h.view.Store((&view.View{}).Update(1, true, []record.Record{
		rec("workspace", "a", `{"weight":1}`), rec("workspace", "b", `{"weight":1}`),
		rec("key", "a", fmt.Sprintf(`{"workspace":"a","hash":%q}`, view.HashKey(keyA))),
		rec("key", "b", fmt.Sprintf(`{"workspace":"b","hash":%q}`, view.HashKey(keyB))),
		rec("route", "keyed", `{"prefix":"/keyed/","pool":"plain","idempotent":["GET"],"timeout":2000}`),
		rec("route", "open", `{"prefix":"/open/","pool":"plain","open":true,"idempotent":["GET"],"timeout":2000}`),
	}, nil))
	h.serve(t)
	return h
}

func (h *testHost) serve(t *testing.T) {
	t.Helper()
	table := backendserver.New(backendserver.Policy{Choice: "wait"}, 1)
	table.Replace(1, []backendserver.Server{
		{ID: "s", Addr: h.service.Addr, Pool: "plain", Class: "steady", Limit: 8},
		{ID: "e", Addr: h.engine.Addr, Pool: "model", Class: "steady", Limit: 8}})
	tracer, err := trace.New(settings.Trace{}, "entry", "test")
	if err != nil {
		t.Fatal(err)
	}
	cfg := settings.DefaultEntry()
	d := dispatch.New(dispatch.Config{Policy: cfg.Policy, Limits: cfg.Limits, Table: table, Client: attempt.NewClient(),
		Usage: dispatch.NewUsage(), Scope: tally.NoopScope, Tracer: tracer, RequestShares: func() {}})
	d.Start()
	standin.Renew(t.Context(), table, map[string]int{"s": 8, "e": 8}, d.Start)
	h.handler = caller.New(caller.Config{Limits: cfg.Limits, Dispatcher: d, Scope: tally.NoopScope, Tracer: tracer, PoolSize: table.Size,
		Ready: func() bool { return true }, View: func() (*view.View, bool) { return h.view.Load(), h.leaseValid.Load() }})
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h.addr = lis.Addr().String()
	srv := &fasthttp.Server{Handler: h.handler.Serve, MaxRequestBodySize: cfg.Limits.MaxBodyBytes, ReadBufferSize: cfg.Limits.MaxHeaderBytes}
	go srv.Serve(lis)
	t.Cleanup(func() { lis.Close() })
}

// raw sends bytes and returns the status and body of the first response, or zero if
// there is none.
func (h *testHost) raw(t *testing.T, text string) (int, string) {
	t.Helper()
	c, err := net.Dial("tcp", h.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(5 * time.Second))
	io.WriteString(c, text)
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, ""
	}
	defer res.Body.Close()
	body, _ := io.ReadAll(res.Body)
	return res.StatusCode, string(body)
}

func (h *testHost) runs() int {
	n := 0
	for _, x := range h.service.Ran() {
		n += x
	}
	return n
}

// TestHostileRequests sends requests without a valid key, requests that may be read in
// two ways, and requests with keys in places that are forwarded. The hostile ones do
// not run, and no key reaches the backend server or the response.
func TestHostileRequests(t *testing.T) {
	auth := "Authorization: Bearer " + keyA + "\r\n"
	for _, c := range []struct {
		name string
		text string
		runs int
	}{
		{"good", "POST /keyed/x HTTP/1.1\r\nHost: h\r\n" + auth + "Content-Length: 1\r\n\r\nx", 1},
		{"odd header case", "POST /keyed/x HTTP/1.1\r\nHost: h\r\naUTHORIZATION: bEARER " + keyA + "\r\nContent-Length: 1\r\n\r\nx", 1},
		{"public route without a key", "POST /open/x HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx", 1},
		{"public route with a key", "POST /open/x HTTP/1.1\r\nHost: h\r\n" + auth + "Content-Length: 1\r\n\r\nx", 1},
		{"key also in another header", "POST /keyed/x HTTP/1.1\r\nHost: h\r\n" + auth + "X-Copy: " + keyA + "\r\nContent-Length: 1\r\n\r\nx", 1},
		{"key also in a cookie", "POST /keyed/x HTTP/1.1\r\nHost: h\r\n" + auth + "Cookie: k=" + keyA + "\r\nContent-Length: 1\r\n\r\nx", 1},
		{"key in a proxy header", "POST /keyed/x HTTP/1.1\r\nHost: h\r\n" + auth + "Proxy-Authorization: Bearer " + keyA + "\r\nContent-Length: 1\r\n\r\nx", 1},
		{"no key", "POST /keyed/x HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx", 0},
		{"guessed key", "POST /keyed/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + keyWrong + "\r\nContent-Length: 1\r\n\r\nx", 0},
		{"two keys", "POST /keyed/x HTTP/1.1\r\nHost: h\r\n" + auth + "Authorization: Bearer " + keyB + "\r\nContent-Length: 1\r\n\r\nx", 0},
		{"key of another scheme", "POST /keyed/x HTTP/1.1\r\nHost: h\r\nAuthorization: Basic " + keyA + "\r\nContent-Length: 1\r\n\r\nx", 0},
		{"key in the query", "POST /keyed/x?key=" + keyA + " HTTP/1.1\r\nHost: h\r\n" + auth + "Content-Length: 1\r\n\r\nx", 0},
		{"key in the query, escaped", "POST /keyed/x?key=%70bk_a_0123456789abcdef HTTP/1.1\r\nHost: h\r\n" + auth + "Content-Length: 1\r\n\r\nx", 0},
		{"key in the path of a public route", "POST /open/" + keyA + " HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx", 0},
		{"key in the body", "POST /keyed/x HTTP/1.1\r\nHost: h\r\n" + auth + "Content-Length: 22\r\n\r\n" + keyA, 0},
		{"Content-Length and Transfer-Encoding", "POST /keyed/x HTTP/1.1\r\nHost: h\r\n" + auth + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nPOST /open/smuggled HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\ns", 0},
		{"two Content-Length headers", "POST /keyed/x HTTP/1.1\r\nHost: h\r\n" + auth + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nxy", 0},
		{"bad chunk size", "POST /keyed/x HTTP/1.1\r\nHost: h\r\n" + auth + "Transfer-Encoding: chunked\r\n\r\n-1\r\nx\r\n0\r\n\r\n", 0},
		{"folded header", "POST /keyed/x HTTP/1.1\r\nHost: h\r\nX-A: b\r\n Authorization: Bearer " + keyA + "\r\nContent-Length: 1\r\n\r\nx", 0},
		{"space before the colon", "POST /keyed/x HTTP/1.1\r\nHost: h\r\nAuthorization : Bearer " + keyA + "\r\nContent-Length: 1\r\n\r\nx", 0},
		{"path traversal out of a public route", "POST /open/../keyed/x HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx", 0},
		{"escaped path traversal", "POST /open/%2e%2e/keyed/x HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx", 0},
		{"short body", "POST /keyed/x HTTP/1.1\r\nHost: h\r\n" + auth + "Content-Length: 10\r\n\r\nx", 0},
		{"no such route", "POST /other HTTP/1.1\r\nHost: h\r\n" + auth + "Content-Length: 1\r\n\r\nx", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			h := newHost(t)
			code, body := h.raw(t, c.text)
			if h.runs() != c.runs {
				t.Errorf("ran %d times, want %d; response %d %s", h.runs(), c.runs, code, body)
			}
			if h.service.Stats().KeyLeaks > 0 {
				t.Error("the backend server received a key")
			}
			if strings.Contains(body, keyA) {
				t.Errorf("the response contains the key: %s", body)
			}
			if c.runs == 0 && code != 0 && !strings.Contains(body, `"ran":"no"`) && code < 500 && code != 400 {
				t.Errorf("response %d %s does not say that the request was not run", code, body)
			}
		})
	}
}

func (h *testHost) post(t *testing.T, path, key, body string) (int, string) {
	t.Helper()
	return h.raw(t, fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", path, key, len(body), body))
}

// TestPlainCallFaults injects connection failures and faulty responses into calls of a
// plain service: a non-idempotent call runs at most once and its response states
// correctly whether it ran, an idempotent call is retried.
func TestPlainCallFaults(t *testing.T) {
	for _, c := range []struct {
		name   string
		method string
		fault  standin.ServiceFault
		code   int
		ran    string
		runs   int
	}{
		{"connection cut before the run", "POST", standin.ServiceFault{At: "before", Times: 1}, 502, "unknown", 0},
		{"connection cut after the run", "POST", standin.ServiceFault{At: "after", Times: 1}, 502, "unknown", 1},
		{"connection cut in the response", "POST", standin.ServiceFault{At: "answer", Times: 1}, 502, "yes", 1},
		{"response to another request", "POST", standin.ServiceFault{WrongRequest: true}, 502, "yes", 1},
		{"late response", "POST", standin.ServiceFault{Delay: 4000}, 502, "unknown", 1},
		{"idempotent, cut after the run", "GET", standin.ServiceFault{At: "after", Times: 1}, 200, "", 2},
		{"idempotent, cut in the response", "GET", standin.ServiceFault{At: "answer", Times: 2}, 200, "", 3},
		{"idempotent, always cut", "GET", standin.ServiceFault{At: "after", Times: 100}, 502, "unknown", maxAttempts},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			h := newHost(t)
			h.service.SetFault(c.fault)
			code, body := h.raw(t, c.method+" /keyed/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer "+keyA+"\r\nContent-Length: 1\r\n\r\nx")
			if code != c.code || (c.ran != "" && !strings.Contains(body, `"ran":"`+c.ran+`"`)) {
				t.Errorf("response %d %s", code, body)
			}
			if h.runs() != c.runs {
				t.Errorf("ran %d times, want %d", h.runs(), c.runs)
			}
		})
	}
}

// maxAttempts is the number of attempts after which a request fails. All of them reach
// the only server of the pool: it is not ejected for longer than the request waits.
const maxAttempts = 5

// TestCompletionFaults cuts off or delays streams of an engine, or lets it respond with
// the ID of another request: the caller gets either the same complete response as
// without the fault or an error.
func TestCompletionFaults(t *testing.T) {
	const body = `{"model":"model","prompt":"p","max_tokens":20,"seed":7}`
	want := ""
	for _, c := range []struct {
		name  string
		fault standin.EngineFault
		code  int
	}{
		{"none", standin.EngineFault{}, 200},
		{"cut once", standin.EngineFault{CutAfter: 5, Times: 1}, 200},
		{"cut twice", standin.EngineFault{CutAfter: 5, Times: 2}, 200},
		{"response to another request", standin.EngineFault{WrongRequest: true}, 502},
		{"late", standin.EngineFault{FirstTokenDelay: 100}, 200},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHost(t)
			h.engine.SetFault(c.fault)
			code, text := h.post(t, "/v1/completions", keyA, body)
			if code != c.code {
				t.Fatalf("response %d %s", code, text)
			}
			var a struct {
				Choices []struct{ Text string }
				Usage   struct {
					Tokens int `json:"completion_tokens"`
				}
			}
			if err := json.Unmarshal([]byte(text), &a); err != nil || code != 200 {
				return
			}
			if want == "" {
				want = a.Choices[0].Text
			}
			if got := a.Choices[0].Text; got != want || a.Usage.Tokens != 20 {
				t.Errorf("got %q, want %q", got, want)
			}
		})
	}
}

func TestInputErrorsNameTheField(t *testing.T) {
	h := newHost(t)
	for body, field := range map[string]string{
		`{"prompt":"p"}`:    "model",
		`{"model":"model"}`: "prompt",
		`{"model":"model","prompt":"p","max_tokens":-1}`:  "max_tokens",
		`{"model":"nobody","prompt":"p"}`:                 "model",
		`{"model":"model","prompt":"p","max_tokens":"x"}`: "body",
		`nothing`: "body",
	} {
		code, text := h.post(t, "/v1/completions", keyA, body)
		if code < 400 || code >= 500 || !strings.Contains(text, fmt.Sprintf(`"field":%q`, field)) || !strings.Contains(text, `"ran":"no"`) {
			t.Errorf("%s: %d %s", body, code, text)
		}
	}
}

func TestWithdrawalEndsRunningRequests(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(h *testHost)
	}{
		{"key withdrawn", func(h *testHost) {
			v := h.view.Load().Update(2, false, []record.Record{{Kind: "key", Name: "a", Revision: 2, Withdrawn: true}}, nil)
			h.view.Store(v)
			h.handler.ConfigChanged(v, true)
		}},
		{"workspace withdrawn", func(h *testHost) {
			v := h.view.Load().Update(2, false, []record.Record{{Kind: "workspace", Name: "a", Revision: 2, Withdrawn: true}}, nil)
			h.view.Store(v)
			h.handler.ConfigChanged(v, true)
		}},
		{"lease ended", func(h *testHost) {
			h.leaseValid.Store(false)
			h.handler.ConfigChanged(h.view.Load(), false)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHost(t)
			go func() {
				for h.engine.Stats().Running == 0 {
					time.Sleep(time.Millisecond)
				}
				c.end(h)
			}()
			code, text := h.post(t, "/v1/completions", keyA, `{"model":"model","prompt":"p","max_tokens":100000}`)
			if code != http.StatusUnauthorized || !strings.Contains(text, "key_withdrawn") {
				t.Errorf("response %d %s", code, text)
			}
			if code, text := h.post(t, "/keyed/x", keyA, "x"); code < 400 || h.runs() != 0 {
				t.Errorf("request after the withdrawal: response %d %s", code, text)
			}
		})
	}
}

// TestDisconnectCancelsGeneration closes the caller's connection during a generation,
// which must stop the request at the engine.
func TestDisconnectCancelsGeneration(t *testing.T) {
	h := newHost(t)
	c, err := net.Dial("tcp", h.addr)
	if err != nil {
		t.Fatal(err)
	}
	body := `{"model":"model","prompt":"p","max_tokens":100000}`
	fmt.Fprintf(c, "POST /v1/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", keyA, len(body), body)
	awaitRunning(t, h, 1)
	c.Close()
	awaitRunning(t, h, 0)
}

func awaitRunning(t *testing.T, h *testHost, n int) {
	t.Helper()
	for range 1000 {
		if h.engine.Stats().Running == n {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%d requests in flight at the engine, want %d", h.engine.Stats().Running, n)
}
