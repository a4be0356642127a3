// Package socket looks at the state of a TCP connection without reading from
// it, and bounds its writes.
package socket

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// State is what can be seen of a connection without reading from it.
type State int

// States of a connection.
const (
	// Quiet connections are open and have nothing to read.
	Idle State = iota
	// Readable connections have bytes to read.
	Readable
	// Closed connections were ended by the other side.
	Closed
)

// Peek looks at the receive buffer of a connection. Connections that are not
// made of a socket are reported as Quiet.
func Peek(c net.Conn) State {
	raw, ok := rawConn(c)
	if !ok {
		return Idle
	}
	state := Idle
	err := raw.Read(func(fd uintptr) bool {
		state = peek(int(fd))
		return true
	})
	if err != nil {
		return Closed
	}
	return state
}

func peek(fd int) State {
	var buf [1]byte
	n, _, err := syscall.Recvfrom(fd, buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.EINTR):
		return Idle
	case err != nil || n == 0:
		return Closed
	}
	return Readable
}

// rawConn unwraps TLS and the wrappers of this package.
func rawConn(c net.Conn) (syscall.RawConn, bool) {
	for {
		switch x := c.(type) {
		case syscall.Conn:
			raw, err := x.SyscallConn()
			return raw, err == nil
		case interface{ NetConn() net.Conn }:
			c = x.NetConn()
		default:
			return nil, false
		}
	}
}

// Bounded is a connection whose every write must finish within a limit, so
// that a slow reader can not hold a request for ever while a long stream that
// is read goes on.
type WriteTimeoutConn struct {
	net.Conn
	// Limit of one write.
	Timeout time.Duration
}

// NetConn returns the wrapped connection.
func (b *WriteTimeoutConn) NetConn() net.Conn { return b.Conn }

// Write writes p within the limit.
func (b *WriteTimeoutConn) Write(p []byte) (int, error) {
	if err := b.Conn.SetWriteDeadline(time.Now().Add(b.Timeout)); err != nil {
		return 0, err
	}
	return b.Conn.Write(p)
}
