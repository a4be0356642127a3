package bodylimit

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"github.com/plantainbank/plantainbank/internal/connection/bodies"
)

const (
	// callFactor is how many times the size of its body a call between processes needs: the body is
	// collected, joined and decoded.
	callFactor = 3
	// roomPollInterval is how often an answer waits for room.
	roomPollInterval = 10 * time.Millisecond
)

type connKey struct{}

// HTTPServer makes a server of calls between processes read bodies of up to maxBody bytes within the limits. Its
// listener must be one of l. A body of unknown length must fit the account: the service's own
// processes announce the length.
func (l *Limiter) HTTPServer(s *http.Server, maxBody int) *http.Server {
	h := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { l.serveHTTP(w, r, int64(maxBody), h) })
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, connOf(c))
	}
	s.ConnState = func(nc net.Conn, state http.ConnState) {
		c := connOf(nc)
		if c == nil {
			return
		}
		switch state {
		case http.StateActive:
			c.setState(stateHead)
		case http.StateIdle:
			c.setState(stateIdle)
		}
	}
	return s
}

func (l *Limiter) serveHTTP(w http.ResponseWriter, r *http.Request, maxBody int64, h http.Handler) {
	c, _ := r.Context().Value(connKey{}).(*Conn)
	if c == nil || r.ProtoMajor != 1 { // the requests of an HTTP/2 connection have no deadlines of their own
		h.ServeHTTP(w, r)
		return
	}
	c.setState(stateBusy)
	if r.ContentLength < 0 {
		maxBody = min(maxBody, l.cfg.Account.Size()/callFactor)
	}
	b := &body{ReadCloser: r.Body, r: &receiver{l: l, c: c, t: c.receiveBody(), start: time.Now()}, announced: r.ContentLength, maxBody: maxBody}
	c.body, c.answerRoom = b.r.t, 0
	defer c.releaseBody()
	if err := b.reserve(max(0, r.ContentLength)); err != nil {
		x := l.refuseBody(err, c.RemoteAddr(), 0)
		c.linger.Store(true)
		_ = c.SetReadDeadline(time.Now().Add(lingerTimeout)) // the server reads on to the end of the request
		w.Header().Set("Connection", "close")
		if x.status == http.StatusServiceUnavailable {
			w.Header().Set("Retry-After", retryAfter())
		}
		http.Error(w, x.detail, x.status)
		return
	}
	r.Body = b
	h.ServeHTTP(&answerWriter{w, c}, r)
}

// body is a request body that is counted while the handler reads it.
type body struct {
	io.ReadCloser
	r         *receiver
	announced int64
	maxBody   int64
	received  int64
	reserved  int64
	done      bool
}

// reserve makes room for a body of n bytes.
func (b *body) reserve(n int64) error {
	if n > b.maxBody {
		return errTooLarge
	}
	if n <= freeBytes || callFactor*n <= b.reserved {
		return nil
	}
	if err := b.r.reserve(int(callFactor*n - b.reserved)); err != nil {
		return err
	}
	b.reserved = callFactor * n
	return nil
}

// Read reads a part of the body.
func (b *body) Read(p []byte) (int, error) {
	if b.done {
		return b.ReadCloser.Read(p)
	}
	n, err := b.r.read(b.ReadCloser, p)
	b.received += int64(n)
	if err == nil && b.announced < 0 {
		err = b.reserve(b.received)
	}
	if err != nil {
		b.done = true
		if err == io.EOF {
			if !b.r.l.cfg.Account.Arrived(b.r.t.Transfer) {
				err = errEnded
			} else {
				_ = b.r.c.SetReadDeadline(time.Time{}) // the server has set none for the time of the handler
				return n, err
			}
		}
		x := b.r.l.refuseBody(err, b.r.c.RemoteAddr(), int(b.received))
		b.r.c.linger.Store(true)
		// The server reads on to the end of the request, but not for long.
		_ = b.r.c.SetReadDeadline(time.Now().Add(lingerTimeout))
		err = fmt.Errorf("%s: %w", x.detail, err)
	}
	return n, err
}

// answerWriter counts answers that are larger than freeBytes while they are written.
type answerWriter struct {
	http.ResponseWriter
	c *Conn
}

// Write writes a part of the answer.
func (w *answerWriter) Write(p []byte) (int, error) {
	if len(p) > freeBytes {
		w.c.l.cfg.Account.Shrink(w.c.body.Transfer, w.c.answerRoom)
		w.c.answerRoom = 0
		w.c.sendAnswer(len(p))
		defer w.c.endAnswer()
	}
	return w.ResponseWriter.Write(p)
}

// Interceptor makes room for the answers of a Twirp service before they are encoded, and lets calls fail with
// Unavailable if there is none. It must only be used for calls that change nothing or have short answers.
func Interceptor(next twirp.Method) twirp.Method {
	return func(ctx context.Context, q any) (any, error) {
		a, err := next(ctx, q)
		m, ok := a.(proto.Message)
		c, _ := ctx.Value(connKey{}).(*Conn)
		if err != nil || !ok || c == nil || c.body == nil {
			return a, err
		}
		n := int64(proto.Size(m))
		if n <= freeBytes {
			return a, nil
		}
		if err := c.l.cfg.Account.Reserve(c.body.Transfer, callFactor*n, time.Now()); err != nil {
			c.l.count("answers_ended", "no room for an answer", "full", logrus.Fields{"addr": c.RemoteAddr().String()})
			return nil, twirp.NewError(twirp.Unavailable, err.Error())
		}
		c.answerRoom += callFactor * n
		return a, nil
	}
}

// Transport returns a transport that reads the answers of the calls whose paths begin with prefix only when the
// account has room for them. It waits for room until the context of the call ends.
func (l *Limiter) Transport(inner http.RoundTripper, prefix string) http.RoundTripper {
	return &transport{inner, l, prefix}
}

type transport struct {
	http.RoundTripper
	l      *Limiter
	prefix string
}

// RoundTrip makes a call.
func (x *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	res, err := x.RoundTripper.RoundTrip(r)
	if err != nil || res.ContentLength <= freeBytes || !strings.HasPrefix(r.URL.Path, x.prefix) {
		return res, err
	}
	account := x.l.cfg.Account
	t := account.Begin(nil, time.Now())
	account.Arrived(t) // it is not ended in favor of others: it comes from the service's own processes
	for {
		if err = account.Reserve(t, callFactor*res.ContentLength, time.Now()); err == nil {
			res.Body = &releasingBody{res.Body, account, t}
			return res, nil
		}
		select {
		case <-r.Context().Done():
			account.Release(t)
			res.Body.Close()
			return nil, err
		case <-time.After(roomPollInterval):
		}
	}
}

// releasingBody gives the bytes of an answer back when it is closed.
type releasingBody struct {
	io.ReadCloser
	account  *bodies.Account
	transfer *bodies.Transfer
}

// Close closes the body.
func (b *releasingBody) Close() error {
	b.account.Release(b.transfer)
	return b.ReadCloser.Close()
}
