// Package socket checks the state of a TCP connection without consuming data, bounds
// the duration of its writes, and closes a listener without resetting the
// connections that the kernel has already established.
package socket

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// State is the state of the receive side of a connection.
type State int

// States of a connection.
const (
	// Idle connections are open and have no data to read.
	Idle State = iota
	// Readable connections have data to read.
	Readable
	// Closed connections were closed by the peer or have failed.
	Closed
)

// Peek returns the state of a connection without consuming data. Connections that are
// not backed by a socket are reported as Idle.
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

// rawConn returns the raw connection under TLS and the wrappers of this package.
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

// WriteTimeoutConn is a connection with a timeout for each write. A peer that stops
// reading cannot block a request forever, while a long stream to a peer that keeps
// reading is not limited.
type WriteTimeoutConn struct {
	net.Conn
	// Timeout bounds each write.
	Timeout time.Duration
}

// NetConn returns the wrapped connection.
func (b *WriteTimeoutConn) NetConn() net.Conn { return b.Conn }

// Write writes p within the timeout.
func (b *WriteTimeoutConn) Write(p []byte) (int, error) {
	if err := b.Conn.SetWriteDeadline(time.Now().Add(b.Timeout)); err != nil {
		return 0, err
	}
	return b.Conn.Write(p)
}
