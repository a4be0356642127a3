// Package dial opens connections that notice a silent peer: a host without
// power and one behind a partition do not reset their connections.
package dial

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/plantainbank/plantainbank/pkg/request/attempt"
)

// Periods and sizes of connections.
const (
	// connectTimeout bounds the opening; hosts are a few milliseconds apart,
	// and a dropped first packet is sent again after a second.
	connectTimeout = 600 * time.Millisecond
	// silentTimeout ends a connection whose peer does not confirm bytes.
	unackedTimeout = 1500 * time.Millisecond
	// idleTimeout ends an unused connection between own processes.
	idleTimeout = 30 * time.Second
	// idlePerHost is the unused connections that are kept for one peer.
	maxIdlePerHost = 8
	// bufferBytes is the size of the buffers of a connection.
	bufferBytes = 8 << 10
)

// New returns a dialer for TCP.
func New() *net.Dialer {
	return &net.Dialer{
		Timeout:         connectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: unackedTimeout, Interval: unackedTimeout / 2, Count: 2},
		Control:         setUserTimeout,
	}
}

// control sets how long sent bytes may stay without confirmation.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var inner error
	err := c.Control(func(fd uintptr) {
		inner = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout/time.Millisecond))
	})
	if err != nil {
		return err
	}
	return inner
}

// NewClient returns a client for backend servers.
func NewClient() *attempt.Client {
	c := attempt.NewClient()
	d := New()
	c.Dial = func(ctx context.Context, addr string) (net.Conn, error) { return d.DialContext(ctx, "tcp4", addr) }
	return c
}

// NewHTTPClient returns a client for calls between own processes.
func NewHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: New().DialContext, MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout: idleTimeout, DisableCompression: true, WriteBufferSize: bufferBytes, ReadBufferSize: bufferBytes}}
}
