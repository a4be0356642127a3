package bodylimit

import (
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// prefetched is the size up to which the HTTP library has read an announced body before it calls the handler.
	prefetched = 8 << 10
	// firstChunkBuffer is the first size of the buffer for a body of unknown length.
	firstChunkBuffer = 16 << 10
	// progressInterval is how often the progress of a body is recorded.
	progressInterval = 50 * time.Millisecond
)

func init() {
	// Buffers of bodies are kept with their connections. A large one would stay in memory as long as
	// its connection is kept alive.
	fasthttp.SetBodySizePoolLimit(4*freeBytes, 4*freeBytes)
}

// Server makes a server read bodies within the limits. Its listener must be one of l.
func (l *Limiter) Server(s *fasthttp.Server) *fasthttp.Server {
	h := s.Handler
	s.Handler = func(rc *fasthttp.RequestCtx) { l.serve(rc, h) }
	// The handler is called once the head has arrived; serve reads the body.
	s.StreamRequestBody, s.DisablePreParseMultipartForm = true, true
	s.HeaderReceived = func(h *fasthttp.RequestHeader) (x fasthttp.RequestConfig) {
		if n := h.ContentLength(); n > prefetched {
			x.MaxRequestBodySize = 1 // calls the handler at the first byte
		}
		x.ReadTimeout = l.cfg.Stall // until the handler is called
		return x
	}
	// The time of a request is taken once its body has arrived, as without StreamRequestBody.
	s.LazyRequestTime = true
	s.ConnState = func(nc net.Conn, state fasthttp.ConnState) {
		c := connOf(nc)
		if c == nil {
			return
		}
		switch state {
		case fasthttp.StateActive:
			c.setState(stateHead)
		case fasthttp.StateIdle:
			c.setState(stateIdle)
			c.endAnswer()
			c.releaseBody()
		case fasthttp.StateClosed:
			c.endAnswer()
			c.releaseBody()
		}
	}
	return s
}

func (l *Limiter) serve(rc *fasthttp.RequestCtx, h fasthttp.RequestHandler) {
	c := connOf(rc.Conn())
	if c == nil {
		h(rc)
		return
	}
	c.setState(stateBusy)
	if err := l.receive(rc, c); err != nil {
		refuse(rc, c, l.refuseBody(err, c.RemoteAddr(), 0))
		return
	}
	// An expired deadline would also fail the check whether the caller is still connected.
	_ = c.SetReadDeadline(time.Time{})
	rc.Time()
	h(rc)
	if rc.Response.IsBodyStream() {
		return // the stream may still need the request
	}
	if c.body != nil {
		rc.Request.ResetBody()
		c.releaseBody()
	}
	if n := len(rc.Response.Body()); n > freeBytes {
		c.sendAnswer(n)
	}
}

// refuse answers that a request has not run and closes the connection.
func refuse(rc *fasthttp.RequestCtx, c *Conn, r refusal) {
	c.releaseBody()
	c.linger.Store(true)
	rc.Request.ResetBody()
	rc.SetConnectionClose()
	if r.status == fasthttp.StatusServiceUnavailable {
		rc.Response.Header.Set("Retry-After", retryAfter())
	}
	c.l.cfg.Refuse(rc, r.status, r.detail)
}

func refuseText(rc *fasthttp.RequestCtx, status int, detail string) {
	rc.SetStatusCode(status)
	rc.SetContentType("text/plain; charset=utf-8")
	rc.SetBodyString(detail + "\n")
}

// receive reads the body of a request.
func (l *Limiter) receive(rc *fasthttp.RequestCtx, c *Conn) error {
	stream := rc.RequestBodyStream()
	if stream == nil {
		return nil
	}
	n := rc.Request.Header.ContentLength()
	switch {
	case n > l.cfg.MaxBody:
		return errTooLarge
	case n >= 0 && n <= prefetched:
		return rc.Request.CloseBodyStream() // the body stays in the request's own buffer
	}
	r := &receiver{l: l, c: c, t: c.receiveBody(), start: time.Now()}
	c.body = r.t
	var body []byte
	var err error
	if n >= 0 {
		body, err = r.sized(stream, n)
	} else {
		body, err = r.chunked(stream)
	}
	if err == nil && !l.cfg.Account.Arrived(r.t.Transfer) {
		err = errEnded
	}
	if err != nil {
		return err
	}
	rc.Request.SetBodyRaw(body)
	if n < 0 && len(body) == 0 {
		rc.Request.Header.SetContentLength(0)
	}
	return nil
}

// receiver reads one body.
type receiver struct {
	l     *Limiter
	c     *Conn
	t     *transfer
	start time.Time
	// last is when progress was last recorded, moved what has arrived since.
	last  time.Time
	moved int
}

// sized reads a body of n bytes.
func (r *receiver) sized(in io.Reader, n int) ([]byte, error) {
	if n > freeBytes {
		if err := r.reserve(n); err != nil {
			return nil, err
		}
	}
	body := make([]byte, n)
	for got := 0; got < n; {
		m, err := r.read(in, body[got:])
		got += m
		if err != nil && (err != io.EOF || got < n) {
			return nil, unexpected(err)
		}
	}
	return body, nil
}

// chunked reads a body of unknown length into a buffer that doubles.
func (r *receiver) chunked(in io.Reader) ([]byte, error) {
	body := make([]byte, 0, firstChunkBuffer)
	for {
		m, err := r.read(in, body[len(body):cap(body)])
		body = body[:len(body)+m]
		switch {
		case err == io.EOF:
			return body, nil
		case err != nil:
			return nil, err
		case len(body) > r.l.cfg.MaxBody:
			return nil, errTooLarge
		case len(body) < cap(body):
			continue
		}
		// One byte more than allowed shows that a body is too large.
		size := min(2*cap(body), r.l.cfg.MaxBody+1)
		if err := r.reserve(size); err != nil {
			return nil, err
		}
		grown := make([]byte, len(body), size)
		copy(grown, body)
		if old := cap(body); old > freeBytes {
			r.l.cfg.Account.Shrink(r.t.Transfer, int64(old))
		}
		body = grown
	}
}

func (r *receiver) reserve(n int) error {
	return r.l.cfg.Account.Reserve(r.t.Transfer, int64(n), time.Now())
}

// read reads a part of a body, within the timeouts.
func (r *receiver) read(in io.Reader, p []byte) (int, error) {
	now := time.Now()
	if now.Sub(r.last) > progressInterval {
		if err := r.c.SetReadDeadline(r.l.deadline(now, r.start)); err != nil {
			return 0, err
		}
		r.l.cfg.Account.Moved(r.t.Transfer, r.moved, now)
		r.last, r.moved = now, 0
	}
	if r.t.ended.Load() {
		return 0, errEnded
	}
	m, err := in.Read(p)
	r.moved += m
	if err != nil && r.t.ended.Load() {
		err = errEnded
	}
	return m, err
}

func unexpected(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Reserve counts further memory that the handler needs to process the body of a request, until the request
// has been answered. It fails if the account is full. A body that is not counted is small.
func Reserve(rc *fasthttp.RequestCtx, n int) error {
	c := connOf(rc.Conn())
	if c == nil || c.body == nil {
		return nil
	}
	return c.l.cfg.Account.Reserve(c.body.Transfer, int64(n), time.Now())
}
