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
	// handOverTimeout bounds how long Close waits for Accept to return the pending
	// connections.
	handOverTimeout = time.Second
	// handshakeGrace is how long Close waits for handshakes in progress to complete:
	// their last packet may still be in the network.
	handshakeGrace = 20 * time.Millisecond
	// handOverPollInterval is the interval at which Close checks for pending
	// connections. It also gives the goroutine that accepted the last connection
	// time to begin serving it.
	handOverPollInterval = 5 * time.Millisecond
)

// Listener sets a write timeout on every connection that it accepts, and closes
// without resetting established connections. When a plain listener closes, the kernel
// resets the connections that have not been accepted, and the requests written to them
// are lost. Close therefore first makes the kernel drop the SYN packets of new
// connections, whose callers retransmit them and are refused a second later, and then
// hands the established connections to Accept.
type Listener struct {
	net.Listener
	WriteTimeout time.Duration

	mu      sync.Mutex
	pending []net.Conn
}

// Listen listens on a TCP address. Multipath TCP is disabled, because the kernel does
// not support socket filters on its sockets.
func Listen(ctx context.Context, addr string, limit time.Duration) (*Listener, error) {
	var cfg net.ListenConfig
	cfg.SetMultipathTCP(false)
	lis, err := cfg.Listen(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &Listener{Listener: lis, WriteTimeout: limit}, nil
}

// Accept returns the next connection. While Close runs, it returns the pending
// connections.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		if c = l.takePending(); c == nil {
			return nil, err
		}
	}
	return &WriteTimeoutConn{Conn: c, Timeout: l.WriteTimeout}, nil
}

// Close stops accepting new connections, and waits until Accept has returned those
// that were established.
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
		c.Close() // Accept is no longer called
	}
	return err
}

// control calls f with the file descriptor of the listening socket. It does nothing
// for listeners without a socket, which have no connections queued in the kernel.
func (l *Listener) control(f func(fd int)) {
	s, ok := l.Listener.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return // already closed
	}
	_ = raw.Control(func(fd uintptr) { f(int(fd)) }) // fails only if the socket is already closed
}

// dropSYNFilter drops the first packet (SYN without ACK) of a connection and passes all
// others. It is a classic BPF program that starts at the TCP header, where byte 13
// contains the flags.
var dropSYNFilter = []unix.SockFilter{
	{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: 13},
	{Code: unix.BPF_ALU | unix.BPF_AND | unix.BPF_K, K: tcpSyn | tcpAck},
	{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, K: tcpSyn, Jt: 0, Jf: 1},
	{Code: unix.BPF_RET | unix.BPF_K, K: 0},
	{Code: unix.BPF_RET | unix.BPF_K, K: 1 << 16},
}

// Flags in a TCP header.
const tcpSyn, tcpAck = 0x02, 0x10

// dropSYN makes the kernel drop the packets that open a connection. Errors are ignored:
// without the filter, only connections that are established between the last accept and
// the close are reset.
func dropSYN(fd int) {
	program := unix.SockFprog{Len: uint16(len(dropSYNFilter)), Filter: &dropSYNFilter[0]}
	_ = unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
}

// acceptEstablished accepts the connections that the kernel has established.
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
		return // the caller has disconnected
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
