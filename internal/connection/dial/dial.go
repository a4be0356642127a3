// Package dial opens connections that detect a peer which has stopped responding. A
// host that has lost power or is behind a network partition does not reset its
// connections.
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

// Timeouts and sizes of connections.
const (
	// connectTimeout bounds opening a connection. Hosts are a few milliseconds apart,
	// and a lost SYN packet is retransmitted after a second.
	connectTimeout = 600 * time.Millisecond
	// unackedTimeout closes a connection whose peer does not acknowledge data or
	// keep-alive probes.
	unackedTimeout = 1500 * time.Millisecond
	// sentinelTimeout is unackedTimeout of a connection that watches the links. Keep-alive counts in
	// seconds.
	sentinelTimeout = time.Second
	// idleTimeout closes an idle connection between processes of the service.
	idleTimeout = 30 * time.Second
	// maxIdlePerHost is the number of idle connections that are kept per host.
	maxIdlePerHost = 8
	// maxHeadBytes bounds the header of a response.
	maxHeadBytes = 64 << 10
	// bufferBytes is the size of the read and the write buffer of a connection.
	bufferBytes = 8 << 10
)

// New returns a TCP dialer.
func New() *net.Dialer { return newDialer(unackedTimeout, unackedTimeout/2) }

// Sentinel opens a connection whose end is noticed within sentinelTimeout and a probe, also if the
// peer is cut off. It carries no data.
func Sentinel(ctx context.Context, addr string) (net.Conn, error) {
	return newDialer(sentinelTimeout, sentinelTimeout).DialContext(ctx, "tcp4", addr)
}

// newDialer returns a dialer of connections that end once the peer has acknowledged nothing for the
// given time. The user timeout also decides when keep-alive probes give up.
func newDialer(unacked, interval time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         connectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: unacked, Interval: interval, Count: 2},
		Control:         func(_, _ string, c syscall.RawConn) error { return setUserTimeout(c, unacked) },
	}
}

// setUserTimeout sets how long sent data may stay unacknowledged.
func setUserTimeout(c syscall.RawConn, unacked time.Duration) error {
	var inner error
	err := c.Control(func(fd uintptr) {
		inner = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacked/time.Millisecond))
	})
	if err != nil {
		return err
	}
	return inner
}

// bufferedFraction is the fraction of a process's memory for bodies of backend servers that
// are being received.
const bufferedFraction = 0.1

// NewClient returns a client for backend servers, for a process with the given memory limit in
// megabytes.
func NewClient(memoryMB int) *attempt.Client {
	c := attempt.NewClient()
	c.MaxBufferedBytes = int64(bufferedFraction * float64(memoryMB) * (1 << 20))
	d := New()
	c.Dial = func(ctx context.Context, addr string) (net.Conn, error) { return d.DialContext(ctx, "tcp4", addr) }
	return c
}

// NewHTTPClient returns a client for calls between processes of the service.
func NewHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: New().DialContext, MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout: idleTimeout, DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes, WriteBufferSize: bufferBytes, ReadBufferSize: bufferBytes}}
}
