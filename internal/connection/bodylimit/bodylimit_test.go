package bodylimit

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"

	"github.com/plantainbank/plantainbank/internal/connection/bodies"
	"github.com/plantainbank/plantainbank/pkg/connection/socket"
)

// Limits of the tests.
const (
	testBody  = 200 << 10
	testStall = 300 * time.Millisecond
)

// serve starts a server of each library that answers with the body it got, and calls test with its address.
func serve(t *testing.T, size int64, maxConns int, test func(t *testing.T, addr string, l *Limiter)) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	newLimiter := func() *Limiter {
		return New(Config{Account: bodies.New(size), MaxBody: testBody, Stall: testStall, Total: 10 * testStall, MaxConns: maxConns,
			Log: logrus.NewEntry(log), Scope: tally.NoopScope})
	}
	listen := func(t *testing.T) net.Listener {
		lis, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		return lis
	}
	t.Run("fasthttp", func(t *testing.T) {
		l, lis := newLimiter(), listen(t)
		s := l.Server(&fasthttp.Server{MaxRequestBodySize: testBody, Handler: func(rc *fasthttp.RequestCtx) {
			if string(rc.Path()) == "/slow" {
				time.Sleep(2 * testStall)
				rc.SetBodyString(fmt.Sprint(socket.Peek(rc.Conn()) == socket.Idle))
				return
			}
			rc.Response.SetBodyRaw(append([]byte(nil), rc.Request.Body()...))
		}})
		go s.Serve(l.Listener(lis))
		defer lis.Close()
		test(t, lis.Addr().String(), l)
	})
	t.Run("nethttp", func(t *testing.T) {
		l, lis := newLimiter(), listen(t)
		s := l.HTTPServer(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			data, err := io.ReadAll(r.Body)
			if r.URL.Path == "/slow" {
				time.Sleep(2 * testStall)
				fmt.Fprint(w, r.Context().Err() == nil)
				return
			}
			if err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
			w.Write(data)
		})}, testBody)
		go s.Serve(l.Listener(lis))
		defer s.Close()
		test(t, lis.Addr().String(), l)
	})
}

func dial(t *testing.T, addr, request string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := io.WriteString(c, request); err != nil {
		t.Fatal(err)
	}
	return c, bufio.NewReader(c)
}

// readAnswer returns the status and the body of an answer, 0 if there is none.
func readAnswer(r *bufio.Reader) (int, string) {
	res, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, err.Error()
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, err.Error()
	}
	return res.StatusCode, string(data)
}

func announced(n int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", n)
}

const chunkedHead = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"

// TestBodiesArriveWhole guards against bodies that are cut, mixed up or lost on a connection that is used again, for
// sizes around those at which they are read differently.
func TestBodiesArriveWhole(t *testing.T) {
	serve(t, 1<<20, 0, func(t *testing.T, addr string, l *Limiter) {
		c, r := dial(t, addr, "")
		for _, n := range []int{0, 1, prefetched, prefetched + 1, freeBytes, freeBytes + 1, testBody} {
			body := strings.Repeat("abcdefg", n/7+1)[:n]
			var chunks strings.Builder
			for rest := body; rest != ""; {
				piece := rest[:min(len(rest), 1000)]
				fmt.Fprintf(&chunks, "%x\r\n%s\r\n", len(piece), piece)
				rest = rest[len(piece):]
			}
			for _, request := range []string{announced(n) + body, chunkedHead + chunks.String() + "0\r\n\r\n"} {
				go io.WriteString(c, request)
				if status, got := readAnswer(r); status != http.StatusOK || got != body {
					t.Fatalf("%d bytes: status %d and %d bytes", n, status, len(got))
				}
			}
		}
		c.Close()
		for end := time.Now().Add(5 * time.Second); l.cfg.Account.Used() != 0 && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		if n := l.cfg.Account.Used(); n != 0 {
			t.Errorf("%d bytes are still counted", n)
		}
	})
}

// TestRefusals guards against bodies that are held although they are too large or do not arrive, and against refusals that
// promise something else.
func TestRefusals(t *testing.T) {
	large := strings.Repeat("a", testBody+1)
	serve(t, 1<<20, 0, func(t *testing.T, addr string, _ *Limiter) {
		for name, x := range map[string]struct {
			request string
			status  []int
		}{
			"announced too large": {announced(testBody+1) + large[:1000], []int{http.StatusRequestEntityTooLarge}},
			// A handler of net/http reads the body itself and answers its error.
			"sent too large":   {chunkedHead + fmt.Sprintf("%x\r\n", len(large)) + large, []int{http.StatusRequestEntityTooLarge, http.StatusBadRequest}},
			"no byte":          {announced(testBody), []int{http.StatusRequestTimeout, http.StatusBadRequest}},
			"announced, stops": {announced(testBody) + large[:50_000], []int{http.StatusRequestTimeout, http.StatusBadRequest}},
			"chunked, stops":   {chunkedHead + "ffff\r\n" + large[:50_000], []int{http.StatusRequestTimeout, http.StatusBadRequest}},
		} {
			_, r := dial(t, addr, x.request)
			if status, got := readAnswer(r); status != x.status[0] && status != x.status[len(x.status)-1] {
				t.Errorf("%s: status %d %s, want one of %v", name, status, got, x.status)
			}
			if _, err := r.ReadByte(); err != io.EOF {
				t.Errorf("%s: the connection ended with %v, want its end", name, err)
			}
		}
	})
}

// TestFullAccountRefusesLargeBodies guards against small calls that fail while the account is full, and against a large
// one that is read nevertheless.
func TestFullAccountRefusesLargeBodies(t *testing.T) {
	serve(t, testBody/2, 0, func(t *testing.T, addr string, l *Limiter) {
		held := l.cfg.Account.Begin(nil, time.Now())
		if err := l.cfg.Account.Reserve(held, testBody/2, time.Now()); err != nil || !l.cfg.Account.Arrived(held) {
			t.Fatal(err)
		}
		_, r := dial(t, addr, announced(testBody)+"a")
		if status, got := readAnswer(r); status != http.StatusServiceUnavailable {
			t.Errorf("large body: status %d %s", status, got)
		}
		_, r = dial(t, addr, announced(freeBytes)+strings.Repeat("a", freeBytes))
		if status, got := readAnswer(r); status != http.StatusOK {
			t.Errorf("small body: status %d %s", status, got)
		}
	})
}

// TestSlowHandlerKeepsConnection guards against a timeout for a body that is still in force while the request runs.
func TestSlowHandlerKeepsConnection(t *testing.T) {
	serve(t, 1<<20, 0, func(t *testing.T, addr string, _ *Limiter) {
		for _, n := range []int{10, freeBytes + 1} {
			_, r := dial(t, addr, strings.Replace(announced(n), "/", "/slow", 1)+strings.Repeat("a", n))
			if status, got := readAnswer(r); status != http.StatusOK || got != "true" {
				t.Errorf("%d bytes: status %d %s", n, status, got)
			}
		}
	})
}

// TestConnectionLimit guards against connections without a request that keep others out, and against a used connection
// that is closed for a new one.
func TestConnectionLimit(t *testing.T) {
	serve(t, 1<<20, 2, func(t *testing.T, addr string, l *Limiter) {
		used, r := dial(t, addr, announced(1)+"a")
		if status, _ := readAnswer(r); status != http.StatusOK {
			t.Fatalf("first request: status %d", status)
		}
		_, silent := dial(t, addr, "POST / HT")
		_, beyond := dial(t, addr, "")
		if status, _ := readAnswer(beyond); status != http.StatusServiceUnavailable {
			t.Errorf("connection beyond the limit: status %d", status)
		}
		l.mu.Lock()
		for c := range l.conns { // as if the time had passed
			c.since.Add(-int64(headPatience))
		}
		l.mu.Unlock()
		_, late := dial(t, addr, announced(1)+"b")
		if status, _ := readAnswer(late); status != http.StatusOK {
			t.Errorf("connection in place of a silent one: status %d", status)
		}
		if _, err := silent.ReadByte(); err == nil {
			t.Error("the silent connection is still open")
		}
		io.WriteString(used, announced(1)+"c")
		if status, _ := readAnswer(r); status != http.StatusOK {
			t.Errorf("connection in use: status %d", status)
		}
	})
}

// BenchmarkCall measures a plain call with a body of 2 KB.
func BenchmarkCall(b *testing.B) {
	for name, limit := range map[string]bool{"limited": true, "unlimited": false} {
		b.Run(name, func(b *testing.B) {
			lis, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			defer lis.Close()
			s := &fasthttp.Server{Handler: func(rc *fasthttp.RequestCtx) { rc.Response.SetBodyRaw(rc.Request.Body()[:10]) }}
			if limit {
				l := New(Config{Account: bodies.New(64 << 20), MaxBody: 32 << 20, Stall: time.Second, Total: time.Second, MaxConns: 100, Scope: tally.NoopScope})
				s, lis = l.Server(s), l.Listener(lis)
			}
			go s.Serve(lis)
			c := &fasthttp.HostClient{Addr: lis.Addr().String()}
			req, res := &fasthttp.Request{}, &fasthttp.Response{}
			req.SetRequestURI("http://" + c.Addr + "/")
			req.Header.SetMethod("POST")
			req.SetBody(make([]byte, 2<<10))
			b.ReportAllocs()
			for b.Loop() {
				if err := c.Do(req, res); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
