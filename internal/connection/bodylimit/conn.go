package bodylimit

import (
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/plantainbank/plantainbank/internal/connection/bodies"
)

const (
	// headPatience is how long a connection may take for the head of a request before it is closed in
	// favor of a new one. The platform's configurations set a head timeout of 3 s.
	headPatience = 3 * time.Second
	// idlePatience is the same for unused connections. Callers reuse a connection that was idle for up
	// to 12 s.
	idlePatience = 13 * time.Second
	// writePiece is how much of an answer is written before the progress is recorded.
	writePiece = bodies.Quantum
	// lingerTimeout and lingerBytes bound what is read of a refused body before the connection is closed:
	// data that arrives on a closed connection resets it, and the caller may lose the refusal.
	lingerTimeout = 500 * time.Millisecond
	lingerBytes   = 4 << 20
	// rejectTimeout bounds the answer to a connection beyond the limit.
	rejectTimeout = 100 * time.Millisecond
)

// rejectAnswer is the answer to a connection beyond the limit.
const rejectAnswer = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n"

// States of a connection.
const (
	stateHead int32 = iota // nothing or a part of a request was received
	stateBusy              // a body arrives or a request is handled
	stateIdle
)

// Conn is a connection that a Limiter counts.
type Conn struct {
	net.Conn
	l     *Limiter
	state atomic.Int32
	// since is when the state began, in Unix nanoseconds.
	since atomic.Int64
	// body is the request body that this connection holds, answer the answer that is being sent. Only
	// the goroutine that serves the connection changes them.
	body   *transfer
	answer atomic.Pointer[transfer]
	// answerRoom is what the body's transfer holds for an answer that is not encoded yet.
	answerRoom int64
	// linger is true if the end of a refused body must be awaited when the connection is closed.
	linger atomic.Bool
	once   sync.Once
}

// transfer is a transfer of the account that can be ended by another one.
type transfer struct {
	*bodies.Transfer
	ended atomic.Bool
}

// Listener returns a listener whose connections are counted and bounded.
func (l *Limiter) Listener(lis net.Listener) net.Listener { return &listener{lis, l} }

type listener struct {
	net.Listener
	l *Limiter
}

// Accept returns the next connection. A connection beyond the limit takes the place of one that does not
// use its own, or is answered with 503.
func (x *listener) Accept() (net.Conn, error) {
	for {
		inner, err := x.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: inner, l: x.l}
		c.setState(stateHead)
		if x.l.add(c) {
			return c, nil
		}
		_ = inner.SetWriteDeadline(time.Now().Add(rejectTimeout))
		_, _ = io.WriteString(inner, rejectAnswer)
		inner.Close()
	}
}

// add counts a connection and reports whether it may be served.
func (l *Limiter) add(c *Conn) bool {
	l.mu.Lock()
	var victim *Conn
	ok := l.cfg.MaxConns == 0 || len(l.conns) < l.cfg.MaxConns
	if !ok {
		victim = l.unused(time.Now())
	}
	if ok = ok || victim != nil; ok {
		delete(l.conns, victim)
		l.conns[c] = true
	}
	l.mu.Unlock()
	switch {
	case victim != nil:
		victim.Conn.Close()
		l.count("connections_ended", "connection closed in favor of another", "unused", logrus.Fields{"addr": victim.RemoteAddr().String()})
	case !ok:
		l.count("connections_ended", "connection refused", "full", logrus.Fields{"addr": c.RemoteAddr().String()})
	}
	return ok
}

// unused returns the connection that has been without a complete request for the longest time, nil if
// none has been for long enough.
func (l *Limiter) unused(now time.Time) (victim *Conn) {
	oldest := int64(0)
	for c := range l.conns {
		patience := headPatience
		switch c.state.Load() {
		case stateBusy:
			continue
		case stateIdle:
			patience = idlePatience
		}
		if since := c.since.Load(); now.Sub(time.Unix(0, since)) >= patience && (victim == nil || since < oldest) {
			victim, oldest = c, since
		}
	}
	return victim
}

// connOf returns the counted connection under TLS, nil if there is none.
func connOf(c net.Conn) *Conn {
	for {
		switch x := c.(type) {
		case *Conn:
			return x
		case interface{ NetConn() net.Conn }:
			c = x.NetConn()
		default:
			return nil
		}
	}
}

// NetConn returns the connection that c wraps.
func (c *Conn) NetConn() net.Conn { return c.Conn }

func (c *Conn) setState(state int32) {
	c.state.Store(state)
	if state != stateBusy { // only the age of the others is used
		c.since.Store(time.Now().UnixNano())
	}
}

// Write writes an answer in pieces and records the progress; all else it writes at once.
func (c *Conn) Write(p []byte) (n int, err error) {
	t := c.answer.Load()
	if t == nil {
		return c.Conn.Write(p)
	}
	for piece := range slices.Chunk(p, writePiece) {
		if err := c.SetWriteDeadline(c.l.deadline(time.Now(), time.Time{})); err != nil {
			return n, err
		}
		m, err := c.Conn.Write(piece)
		n += m
		c.l.cfg.Account.Moved(t.Transfer, m, time.Now())
		if err != nil {
			if !t.ended.Load() {
				c.l.count("answers_ended", "answer not read", "stalled", logrus.Fields{"addr": c.RemoteAddr().String()})
			}
			return n, err
		}
	}
	return n, nil
}

// sendAnswer begins an answer of n bytes. The connection is closed if it is not read and others need the room.
func (c *Conn) sendAnswer(n int) {
	c.endAnswer()
	t := &transfer{}
	c.answer.Store(t)
	t.Transfer = c.l.cfg.Account.Send(int64(n), func() {
		t.ended.Store(true)
		c.Conn.Close()
		c.l.count("answers_ended", "answer not read", "slow", logrus.Fields{"addr": c.RemoteAddr().String()})
	}, time.Now())
}

func (c *Conn) endAnswer() {
	if t := c.answer.Swap(nil); t != nil {
		c.l.cfg.Account.Release(t.Transfer)
		_ = c.SetWriteDeadline(time.Time{}) // fails only if the connection is closed
	}
}

// receiveBody begins a body. The next read of it fails if others need the room.
func (c *Conn) receiveBody() *transfer {
	t := &transfer{}
	t.Transfer = c.l.cfg.Account.Begin(func() {
		t.ended.Store(true)
		_ = c.SetReadDeadline(time.Unix(1, 0))
	}, time.Now())
	return t
}

func (c *Conn) releaseBody() {
	if c.body != nil {
		c.l.cfg.Account.Release(c.body.Transfer)
		c.body = nil
	}
}

// Close closes the connection and gives its bytes back.
func (c *Conn) Close() error {
	c.once.Do(func() {
		c.l.mu.Lock()
		delete(c.l.conns, c)
		c.l.mu.Unlock()
		if c.linger.Load() {
			c.awaitEnd()
		}
	})
	return c.Conn.Close()
}

// awaitEnd ends the sending side and reads what is still arriving, for a short time.
func (c *Conn) awaitEnd() {
	if closeWrite(c.Conn) != nil {
		return
	}
	_ = c.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes) // the connection is closed whether or not the end has come
}

// closeWrite ends the sending side of the TCP connection under c.
func closeWrite(c net.Conn) error {
	for {
		switch x := c.(type) {
		case interface{ CloseWrite() error }:
			return x.CloseWrite()
		case interface{ NetConn() net.Conn }:
			c = x.NetConn()
		default:
			return errors.ErrUnsupported
		}
	}
}
