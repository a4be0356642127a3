// Package attempt sends one request to one backend server and reads the whole
// answer. It never repeats a request and never mixes up two answers.
//
// A connection is used for one request at a time. It goes back to the idle
// ones only after its answer was read to the end; after any error, time-out or
// cancellation it is closed.
package attempt

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/plantainbank/plantainbank/pkg/connection/socket"
)

// Ran says whether a request was run.
type Ran string

// Values of Ran.
const (
	// RanNo: no byte of the request can have reached a backend server, or the
	// backend server itself said that it did not run it.
	RanNo Ran = "no"
	// RanYes: the backend server answered or began to answer.
	RanYes Ran = "yes"
	// RanUnknown: the request may have been run.
	RanUnknown Ran = "unknown"
)

// Error reports an attempt without a whole answer.
type Error struct {
	// Phase is "connect", "send", "receive" or "answer".
	Phase string
	Ran   Ran
	// Broken tells that the connection failed, as it does when the backend
	// server dies.
	Broken bool
	Err    error
}

func (e *Error) Error() string { return fmt.Sprintf("%s (ran: %s): %v", e.Phase, e.Ran, e.Err) }

func (e *Error) Unwrap() error { return e.Err }

// Periods and sizes of connections.
const (
	connectTimeout = time.Second
	idleMost       = 64
	idleLongest    = 5 * time.Second
	bufferBytes    = 16 << 10
	// keepAliveMargin covers the way of a request and the clocks' drift.
	keepAliveMargin = 500 * time.Millisecond
)

// Client keeps idle connections to the backend servers.
type Client struct {
	// Dial opens a connection.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	mu   sync.Mutex
	idle map[string][]*conn
}

// conn is a connection to a backend server.
type conn struct {
	net.Conn
	br   *bufio.Reader
	bw   *bufio.Writer
	used time.Time
	// idle is how long the server keeps the connection open unused.
	idle time.Duration
	// idleTimeout bounds each read and write; zero means no bound.
	idleTimeout time.Duration
}

// Read reads within the bound.
func (x *conn) Read(p []byte) (int, error) {
	if err := x.Conn.SetReadDeadline(x.bound()); err != nil {
		return 0, err
	}
	return x.Conn.Read(p)
}

// Write writes within the bound.
func (x *conn) Write(p []byte) (int, error) {
	if err := x.Conn.SetWriteDeadline(x.bound()); err != nil {
		return 0, err
	}
	return x.Conn.Write(p)
}

func (x *conn) bound() time.Time {
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

// get returns a connection that is known to be live: a fresh one, or with
// reuse an idle one that the server has neither closed nor written to.
func (c *Client) get(ctx context.Context, addr string, reuse bool) (*conn, error) {
	for reuse {
		x := c.takeIdle(addr)
		if x == nil {
			break
		}
		if time.Since(x.used) < x.idle && socket.Peek(x.Conn) == socket.Idle {
			return x, nil
		}
		x.Close()
	}
	raw, err := c.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	x := &conn{Conn: raw, idle: idleLongest}
	x.br = bufio.NewReaderSize(x, bufferBytes)
	x.bw = bufio.NewWriterSize(x, bufferBytes)
	return x, nil
}

func (c *Client) takeIdle(addr string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := c.idle[addr]
	if len(all) == 0 {
		return nil
	}
	x := all[len(all)-1]
	c.idle[addr] = all[:len(all)-1]
	return x
}

func (c *Client) putIdle(addr string, x *conn) {
	x.used = time.Now()
	if err := x.SetDeadline(time.Time{}); err != nil {
		x.Close()
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[addr]) >= idleMost {
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

// CloseIdle closes the connections that were idle for too long.
func (c *Client) CloseIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, all := range c.idle {
		kept := all[:0]
		for _, x := range all {
			if time.Since(x.used) < x.idle {
				kept = append(kept, x)
			} else {
				x.Close()
			}
		}
		c.idle[addr] = kept
		if len(kept) == 0 {
			delete(c.idle, addr)
		}
	}
}

// Answer is a whole answer, or a stream if Body is set.
type Answer struct {
	Response *fasthttp.Response
	// Body reads a streamed answer. Close must be called.
	Body io.Reader
	conn *conn
	done func(whole bool)
}

// SetIdleTimeout changes the longest time without any byte of a streamed
// answer.
func (a *Answer) SetIdleTimeout(d time.Duration) { a.conn.idleTimeout = d }

// Close ends the use of the connection. whole says that the answer was read to
// its end.
func (a *Answer) Close(whole bool) {
	if a.done != nil {
		a.done(whole)
		a.done = nil
	}
}

// Options of an attempt.
type Options struct {
	// Fresh forbids a connection that was used before, for requests that
	// must not run twice.
	NewConnection bool
	// Stream returns once the header is there.
	Stream bool
	// StreamIf limits Stream to the answers that it approves; nil approves all.
	StreamIf func(*fasthttp.ResponseHeader) bool
	// IdleTimeout is the longest time without any byte of the answer.
	IdleTimeout time.Duration
	// BodyMost is the largest whole answer in bytes.
	MaxBodyBytes int
	// Unframed allows a body that ends with its connection. Only a clean end
	// counts as whole; a reset does not.
	CloseDelimited bool
}

// Do sends req to addr and reads the answer. The error is an *Error. The
// request ends when ctx does.
func (c *Client) Do(ctx context.Context, addr string, req *fasthttp.Request, o Options) (*Answer, error) {
	x, err := c.get(ctx, addr, !o.NewConnection)
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
	a.done = func(whole bool) {
		if !stop() || !whole || a.Response.ConnectionClose() || req.ConnectionClose() || x.br.Buffered() > 0 {
			x.Close()
			return
		}
		x.idle = keepAlive(a.Response)
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

func (c *Client) exchange(x *conn, req *fasthttp.Request, o Options) (*Answer, error) {
	if err := req.Write(x.bw); err != nil {
		return nil, &Error{Phase: "send", Ran: RanUnknown, Broken: true, Err: err}
	}
	if err := x.bw.Flush(); err != nil {
		return nil, &Error{Phase: "send", Ran: RanUnknown, Broken: true, Err: err}
	}
	res := &fasthttp.Response{SkipBody: req.Header.IsHead(), StreamBody: o.Stream}
	if err := readHeader(res, x.br); err != nil {
		return nil, &Error{Phase: "receive", Ran: RanUnknown, Broken: true, Err: err}
	}
	if o.Stream && o.StreamIf != nil && !o.StreamIf(&res.Header) {
		o.Stream, res.StreamBody = false, false
	}
	if err := readBody(res, x.br, o); err != nil {
		return nil, &Error{Phase: "answer", Ran: RanYes, Broken: broken(err), Err: err}
	}
	a := &Answer{Response: res, conn: x}
	if o.Stream && !res.SkipBody && !bodyless(res.StatusCode()) {
		a.Body = res.BodyStream()
	}
	return a, nil
}

// broken reports whether an error while reading comes from the connection.
func broken(err error) bool {
	var op *net.OpError
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &op)
}

// readBody reads a whole body, or makes it a stream.
func readBody(res *fasthttp.Response, br *bufio.Reader, o Options) error {
	if res.SkipBody || bodyless(res.StatusCode()) {
		return nil
	}
	if res.Header.ContentLength() == unframed {
		return readUnframed(res, br, o)
	}
	if err := res.ReadBody(br, o.MaxBodyBytes); err != nil {
		return err
	}
	if o.Stream || res.Header.ContentLength() != chunked {
		return nil
	}
	err := res.Header.ReadTrailer(br)
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// readUnframed reads up to the end of the connection.
func readUnframed(res *fasthttp.Response, br *bufio.Reader, o Options) error {
	if !o.CloseDelimited {
		return errUnframed
	}
	res.SetConnectionClose()
	if o.Stream {
		res.SetBodyStream(br, unframed)
		return nil
	}
	body, err := io.ReadAll(io.LimitReader(br, int64(o.MaxBodyBytes)))
	if err != nil {
		return err
	}
	res.SetBodyRaw(body)
	return nil
}

// keepAlive returns how long the server keeps an unused connection open, with
// a margin for the way.
func keepAlive(res *fasthttp.Response) time.Duration {
	for _, part := range strings.Split(string(res.Header.Peek("Keep-Alive")), ",") {
		seconds, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if n, err := strconv.Atoi(seconds); ok && err == nil {
			return time.Duration(n)*time.Second - keepAliveMargin
		}
	}
	return idleLongest
}

// readHeader skips informational answers.
func readHeader(res *fasthttp.Response, br *bufio.Reader) error {
	for {
		if err := res.Header.Read(br); err != nil {
			return err
		}
		if res.StatusCode() >= fasthttp.StatusOK {
			return nil
		}
	}
}

// Content lengths that fasthttp gives to bodies without a known length.
const (
	chunked = -1
	// unframed bodies end with the connection.
	unframed = -2
)

var errUnframed = errors.New("the answer's end can not be told from a cut connection")

func bodyless(status int) bool {
	return status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}
