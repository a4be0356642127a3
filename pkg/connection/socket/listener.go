package socket

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// handOverLongest bounds how long Close waits for connections to be taken.
	handOverTimeout = time.Second
	// openingPause is how long Close lets connections that are being opened come to
	// an end: their last packet is a network's way behind.
	handshakeGrace = 20 * time.Millisecond
	// handOverPause is the pause between two looks, and lets whoever took the last
	// connection begin to serve it.
	handOverPollInterval = 5 * time.Millisecond
)

// Listener bounds the writes of every connection that it accepts. Close hands out
// the connections that callers have opened before: the kernel resets those that
// are not accepted when a listener closes, with the requests that were written to
// them. So Close first lets the kernel drop what would open a new connection,
// whose caller tries again and is refused a second later.
type Listener struct {
	net.Listener
	WriteTimeout time.Duration

	mu      sync.Mutex
	pending []net.Conn
}

// Listen listens on a TCP address. Multipath TCP is off, since the kernel takes no
// filter for its sockets.
func Listen(ctx context.Context, addr string, limit time.Duration) (*Listener, error) {
	var cfg net.ListenConfig
	cfg.SetMultipathTCP(false)
	lis, err := cfg.Listen(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &Listener{Listener: lis, WriteTimeout: limit}, nil
}

// Accept returns the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		if c = l.takePending(); c == nil {
			return nil, err
		}
	}
	return &WriteTimeoutConn{Conn: c, Timeout: l.WriteTimeout}, nil
}

// Close takes no new connections, and waits until Accept has returned those that
// were open.
func (l *Listener) Close() error {
	l.control(dropSYN)
	time.Sleep(handshakeGrace)
	l.control(l.acceptEstablished)
	err := l.Listener.Close()
	for end := time.Now().Add(handOverTimeout); l.hasPending() && time.Now().Before(end); {
		time.Sleep(handOverPollInterval)
	}
	time.Sleep(handOverPollInterval)
	for c := l.takePending(); c != nil; c = l.takePending() {
		c.Close() // nobody accepts any more
	}
	return err
}

// control runs f on the listening socket. Listeners that are not made of one have
// no connections that wait in the kernel.
func (l *Listener) control(f func(fd int)) {
	s, ok := l.Listener.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return // closed already
	}
	_ = raw.Control(func(fd uintptr) { f(int(fd)) }) // fails only if it is closed already
}

// openingFilter drops the first packet of a connection and lets all others pass: a
// classic BPF program over the TCP header, whose flags are its byte 13.
var dropSYNFilter = []unix.SockFilter{
	{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: 13},
	{Code: unix.BPF_ALU | unix.BPF_AND | unix.BPF_K, K: tcpSyn | tcpAck},
	{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, K: tcpSyn, Jt: 0, Jf: 1},
	{Code: unix.BPF_RET | unix.BPF_K, K: 0},
	{Code: unix.BPF_RET | unix.BPF_K, K: 1 << 16},
}

// Flags of a TCP header.
const tcpSyn, tcpAck = 0x02, 0x10

// dropOpening lets the kernel drop what would open a connection. Without it, a
// connection that is opened between the last accept and the close is reset, which
// is all that a failure costs.
func dropSYN(fd int) {
	program := unix.SockFprog{Len: uint16(len(dropSYNFilter)), Filter: &dropSYNFilter[0]}
	_ = unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
}

// drain accepts what the kernel has established.
func (l *Listener) acceptEstablished(fd int) {
	for {
		n, _, err := syscall.Accept4(fd, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
		if err == syscall.EINTR || err == syscall.ECONNABORTED {
			continue
		}
		if err != nil {
			return
		}
		l.addPending(n)
	}
}

func (l *Listener) addPending(fd int) {
	f := os.NewFile(uintptr(fd), "connection")
	defer f.Close()
	c, err := net.FileConn(f)
	if err != nil {
		return // its caller has left
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = append(l.pending, c)
}

func (l *Listener) takePending() net.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.pending) == 0 {
		return nil
	}
	c := l.pending[0]
	l.pending = l.pending[1:]
	return c
}

func (l *Listener) hasPending() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.pending) > 0
}
