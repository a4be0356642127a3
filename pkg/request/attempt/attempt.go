// Package attempt sends one request to one backend server and reads the complete
// response. It never retries a request and never returns a response that belongs to
// another request.
//
// A connection serves one request at a time. It returns to the idle pool only
// after its response was read to the end; after any error, timeout or cancellation
// it is closed.
package attempt

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/plantainbank/plantainbank/pkg/connection/socket"
)

// Ran reports whether a backend server ran a request.
type Ran string

// Values of Ran.
const (
	// RanNo: no byte of the request can have reached a backend server, or the
	// backend server reported that it did not run it.
	RanNo Ran = "no"
	// RanYes: the backend server began to respond.
	RanYes Ran = "yes"
	// RanUnknown: the request may have been run.
	RanUnknown Ran = "unknown"
)

// Error reports an attempt without a complete response.
type Error struct {
	// Phase is "connect", "send", "receive" or "answer", or "queue" if the
	// request was not admitted.
	Phase string
	Ran   Ran
	// Broken is set if the connection failed, as after a crash of the backend
	// server, or if another incarnation of the server has its address.
	Broken bool
	Err    error
}

func (e *Error) Error() string {
	return fmt.Sprintf("failed in phase %s (ran: %s): %v", e.Phase, e.Ran, e.Err)
}

func (e *Error) Unwrap() error { return e.Err }

// ClosedByServer reports whether an attempt failed because the server ended the connection
// while it may have been running the request, as in a crash. Timeouts, cancellations, failed
// connects and responses of other requests do not count.
func ClosedByServer(err error) bool {
	var e *Error
	if errors.As(err, &e) && e.Ran == RanNo {
		return false
	}
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) ||
		errors.Is(err, syscall.EPIPE)
}

// VerifyError reports a response that does not belong to the request.
type VerifyError struct{ Err error }

func (e *VerifyError) Error() string { return e.Err.Error() }

func (e *VerifyError) Unwrap() error { return e.Err }

// Timeouts and limits of connections.
const (
	connectTimeout = time.Second
	maxIdlePerAddr = 64
	maxIdleTime    = 5 * time.Second
	bufferBytes    = 16 << 10
	// keepAliveMargin covers network latency and clock drift.
	keepAliveMargin = 500 * time.Millisecond
)

// Client sends requests to backend servers and pools idle connections.
type Client struct {
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// MaxBufferedBytes bounds the bodies that are being received at one time, over all
	// requests; zero means no bound. A response over it fails.
	MaxBufferedBytes int64
	buffered         atomic.Int64
	mu               sync.Mutex
	idle             map[string][]*conn
}

type conn struct {
	net.Conn
	br       *bufio.Reader
	bw       *bufio.Writer
	lastUsed time.Time
	// failedID is the ID of the latest request if its response was a failure.
	failedID string
	// maxIdle is the longest idle time after which the connection is still reused.
	maxIdle time.Duration
	// idleTimeout bounds each read and write; zero means no timeout.
	idleTimeout time.Duration
	// left is the number of bytes that may be read before the next progress of a response,
	// until the time by which that progress must be made; zero means no deadline.
	left  int64
	until time.Time
}

// expect bounds what is read until the next progress of a response.
func (x *conn) expect(bytes int64, timeout time.Duration) {
	x.left, x.until = bytes, time.Time{}
	if timeout > 0 {
		x.until = time.Now().Add(timeout)
	}
}

// Read reads within idleTimeout and the bounds of the next progress.
func (x *conn) Read(p []byte) (int, error) {
	if x.left <= 0 {
		return 0, errNoProgress
	}
	deadline := x.ioDeadline()
	if !x.until.IsZero() && (deadline.IsZero() || x.until.Before(deadline)) {
		deadline = x.until
	}
	if err := x.Conn.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	n, err := x.Conn.Read(p[:min(int64(len(p)), x.left)])
	x.left -= int64(n)
	return n, err
}

// Write writes within idleTimeout.
func (x *conn) Write(p []byte) (int, error) {
	if err := x.Conn.SetWriteDeadline(x.ioDeadline()); err != nil {
		return 0, err
	}
	return x.Conn.Write(p)
}

func (x *conn) ioDeadline() time.Time {
	if x.idleTimeout == 0 {
		return time.Time{}
	}
	return time.Now().Add(x.idleTimeout)
}

// NewClient returns a client that dials TCP.
func NewClient() *Client {
	d := &net.Dialer{Timeout: connectTimeout}
	return &Client{
		Dial: func(ctx context.Context, addr string) (net.Conn, error) { return d.DialContext(ctx, "tcp", addr) },
		idle: map[string][]*conn{},
	}
}

// get returns a usable connection: unless o forbids it, an idle one that the server has
// neither closed nor written to, otherwise a new one.
func (c *Client) get(ctx context.Context, addr string, o Options) (*conn, error) {
	for !o.NewConnection {
		x := c.takeIdle(addr, o.ID)
		if x == nil {
			break
		}
		if time.Since(x.lastUsed) < x.maxIdle && socket.Peek(x.Conn) == socket.Idle {
			return x, nil
		}
		x.Close()
	}
	raw, err := c.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	x := &conn{Conn: raw, maxIdle: maxIdleTime}
	x.br = bufio.NewReaderSize(x, bufferBytes)
	x.bw = bufio.NewWriterSize(x, bufferBytes)
	return x, nil
}

// takeIdle returns the idle connection that was used last and on which the request with an ID has not
// just failed.
func (c *Client) takeIdle(addr, id string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := c.idle[addr]
	for i, x := range slices.Backward(all) {
		if id == "" || x.failedID != id {
			c.idle[addr] = slices.Delete(all, i, i+1)
			return x
		}
	}
	return nil
}

func (c *Client) putIdle(addr string, x *conn) {
	x.lastUsed = time.Now()
	if err := x.SetDeadline(time.Time{}); err != nil {
		x.Close()
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[addr]) >= maxIdlePerAddr {
		x.Close()
		return
	}
	c.idle[addr] = append(c.idle[addr], x)
}

// Idle reports whether there is an idle connection to an address.
func (c *Client) Idle(addr string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.idle[addr]) > 0
}

// DropIdle closes all idle connections.
func (c *Client) DropIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, all := range c.idle {
		for _, x := range all {
			x.Close()
		}
	}
	clear(c.idle)
}

// CloseIdle closes the connections that have been idle for too long.
func (c *Client) CloseIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, all := range c.idle {
		remaining := all[:0]
		for _, x := range all {
			if time.Since(x.lastUsed) < x.maxIdle {
				remaining = append(remaining, x)
			} else {
				x.Close()
			}
		}
		c.idle[addr] = remaining
		if len(remaining) == 0 {
			delete(c.idle, addr)
		}
	}
}

// Response is a complete response, or a stream if Body is set.
type Response struct {
	Response *fasthttp.Response
	// Body reads a streamed response. Close must be called.
	Body    io.Reader
	conn    *conn
	release func(complete bool)
}

// Expect bounds a streamed response until the next call: its body ends with an error once that
// many further bytes were received or the timeout has passed. It is called after each event, so
// that bytes without an event end the stream.
func (a *Response) Expect(bytes int64, timeout time.Duration) {
	a.conn.idleTimeout = timeout
	a.conn.expect(bytes, timeout)
}

// Close releases the connection. complete reports whether the response was read to
// its end: if so, the connection returns to the idle pool, otherwise it is closed.
func (a *Response) Close(complete bool) {
	if a.release != nil {
		a.release(complete)
		a.release = nil
	}
}

// Options configure an attempt.
type Options struct {
	// NewConnection forbids the reuse of an idle connection, for requests that
	// must not run twice.
	NewConnection bool
	// Stream makes Do return once the header is read.
	Stream bool
	// StreamIf limits Stream to the responses for which it returns true; nil means all.
	StreamIf func(*fasthttp.ResponseHeader) bool
	// IdleTimeout is the longest time without any byte of the response. It also bounds the
	// time to receive the header, and after that a body that is not streamed; zero means no
	// timeout.
	IdleTimeout time.Duration
	// MaxBodyBytes bounds the body of a response that is not streamed; zero means
	// defaultMaxBody.
	MaxBodyBytes int
	// Verify checks the header of the response before anything else of it is read. Its error means
	// that the response does not belong to the request; Do then closes the connection and returns a
	// *VerifyError in the *Error. Nil accepts every response.
	Verify func(*fasthttp.ResponseHeader) error
	// ID identifies the request in its response, empty if nothing does. An attempt does not reuse
	// the connection on which the same request has failed with status 500 or 504: that response may
	// come twice, and would count as another failure.
	ID string
	// CloseDelimited allows a body that ends with its connection. Such a body
	// is complete only after a clean close, not after a reset.
	CloseDelimited bool
}

// Do sends req to addr and reads the response. The error is an *Error. When ctx
// ends, the connection is closed and the request fails.
func (c *Client) Do(ctx context.Context, addr string, req *fasthttp.Request, o Options) (*Response, error) {
	x, err := c.get(ctx, addr, o)
	if err != nil {
		return nil, &Error{Phase: "connect", Ran: RanNo, Broken: true, Err: err}
	}
	x.idleTimeout = o.IdleTimeout
	stop := context.AfterFunc(ctx, func() { x.Close() })
	a, err := c.exchange(x, req, o)
	if err != nil {
		stop()
		x.Close()
		return nil, withCause(ctx, err)
	}
	a.release = func(complete bool) {
		if !stop() || !complete || a.Response.ConnectionClose() || req.ConnectionClose() || x.br.Buffered() > 0 {
			x.Close()
			return
		}
		x.maxIdle, x.failedID = keepAlive(a.Response), ""
		if status := a.Response.StatusCode(); status == fasthttp.StatusInternalServerError || status == fasthttp.StatusGatewayTimeout {
			x.failedID = o.ID
		}
		c.putIdle(addr, x)
	}
	if a.Body == nil {
		a.Close(true)
	}
	return a, nil
}

func withCause(ctx context.Context, err error) error {
	var e *Error
	if cause := context.Cause(ctx); cause != nil && errors.As(err, &e) {
		e.Err = cause
	}
	return err
}

func (c *Client) exchange(x *conn, req *fasthttp.Request, o Options) (*Response, error) {
	if err := req.Write(x.bw); err != nil {
		return nil, &Error{Phase: "send", Ran: RanUnknown, Broken: true, Err: err}
	}
	if err := x.bw.Flush(); err != nil {
		return nil, &Error{Phase: "send", Ran: RanUnknown, Broken: true, Err: err}
	}
	if o.MaxBodyBytes == 0 {
		o.MaxBodyBytes = defaultMaxBody
	}
	x.expect(maxHeadBytes, o.IdleTimeout)
	res := &fasthttp.Response{SkipBody: req.Header.IsHead(), StreamBody: o.Stream}
	if err := readHeader(res, x.br); err != nil {
		return nil, &Error{Phase: "receive", Ran: RanUnknown, Broken: true, Err: err}
	}
	if o.Verify != nil {
		if err := o.Verify(&res.Header); err != nil {
			return nil, &Error{Phase: "answer", Ran: RanUnknown, Broken: true, Err: &VerifyError{err}}
		}
	}
	if o.Stream && o.StreamIf != nil && !o.StreamIf(&res.Header) {
		o.Stream, res.StreamBody = false, false
	}
	x.expect(framingFactor*int64(o.MaxBodyBytes)+maxHeadBytes, o.IdleTimeout)
	if err := c.readBody(res, x.br, o); err != nil {
		return nil, &Error{Phase: "answer", Ran: RanYes, Broken: broken(err), Err: err}
	}
	a := &Response{Response: res, conn: x}
	if o.Stream && !res.SkipBody && !hasNoBody(res.StatusCode()) {
		a.Body = res.BodyStream()
	}
	return a, nil
}

// broken reports whether a read error comes from the connection.
func broken(err error) bool {
	var op *net.OpError
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &op)
}

// keepAlive returns how long a connection may stay idle: the timeout of the
// Keep-Alive header less keepAliveMargin, or maxIdleTime without one.
func keepAlive(res *fasthttp.Response) time.Duration {
	for _, part := range strings.Split(string(res.Header.Peek("Keep-Alive")), ",") {
		seconds, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if n, err := strconv.Atoi(seconds); ok && err == nil {
			return time.Duration(n)*time.Second - keepAliveMargin
		}
	}
	return maxIdleTime
}
