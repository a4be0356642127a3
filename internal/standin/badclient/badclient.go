// Package badclient is a stand-in for clients that nobody controls: they stop short of the end
// of a body, send more than allowed, or do not read their answers, and keep their connections open.
package badclient

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// Kind is what a client does wrong.
type Kind int

// Kinds of clients.
const (
	// Announced states the length of its body and stops short of it.
	Announced Kind = iota
	// LargeChunks sends chunks of 1 MB and no last chunk.
	LargeChunks
	// SmallChunks sends chunks of 16 bytes and no last chunk.
	SmallChunks
	// OversizeAnnounced states a length beyond every limit and sends without end.
	OversizeAnnounced
	// OversizeChunked sends chunks without end.
	OversizeChunked
	kinds
)

const (
	writeTimeout  = 5 * time.Second
	largeChunk    = 1 << 20
	smallChunk    = 16
	smallFraction = 8 // small chunks take eight times as long to send
	oversize      = 1 << 30
	// sentOversize is how much of a body beyond every limit is sent.
	sentOversize = 96 << 20
	// receiveBuffer keeps the kernel from taking in what a client does not read.
	receiveBuffer = 4 << 10
)

// Target is where clients send requests.
type Target struct {
	Addr, Host, Path string
	// Header holds further header lines.
	Header map[string]string
	// BodyBytes is the size of a body inside the limits.
	BodyBytes int
}

func (t Target) head(method, framing string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s\r\n", method, t.Path, t.Host, framing)
	for k, v := range t.Header {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	return b.String() + "\r\n"
}

// Send opens n connections of all kinds in turn, sends on all at once what each sends, and returns
// once they have stopped. The connections stay open until the result is called.
func Send(t Target, n int) (closeAll func(), err error) {
	return open(t.Addr, n, func(i int, c net.Conn) { t.send(Kind(i)%kinds, c) })
}

// SendUnread sends n requests, waits for the first byte of each answer, and reads no more.
func SendUnread(t Target, method string, body []byte, n int) (closeAll func(), err error) {
	return open(t.Addr, n, func(_ int, c net.Conn) {
		_ = c.(*net.TCPConn).SetReadBuffer(receiveBuffer)
		_, _ = c.Write(append([]byte(t.head(method, "Content-Length: "+strconv.Itoa(len(body)))), body...))
		_ = c.SetReadDeadline(time.Now().Add(writeTimeout))
		_, _ = c.Read(make([]byte, 1))
	})
}

func open(addr string, n int, f func(i int, c net.Conn)) (closeAll func(), err error) {
	var conns []net.Conn
	closeAll = func() {
		for _, c := range conns {
			c.Close()
		}
	}
	done := make(chan struct{}, n)
	for i := range n {
		c, err := net.DialTimeout("tcp4", addr, writeTimeout)
		if err != nil {
			closeAll()
			return nil, err
		}
		conns = append(conns, c)
		go func() {
			f(i, c)
			done <- struct{}{}
		}()
	}
	for range n {
		<-done
	}
	return closeAll, nil
}

// send writes until the client has sent all, the server closes the connection or takes nothing more.
func (t Target) send(k Kind, c net.Conn) {
	w := bufio.NewWriterSize(&progressWriter{c}, 64<<10)
	defer w.Flush()
	chunk := func(size int) []byte {
		return fmt.Appendf(nil, "%x\r\n%s\r\n", size, bytes.Repeat([]byte("a"), size))
	}
	write := func(head string, piece []byte, total int) {
		_, err := w.WriteString(head)
		for sent := 0; err == nil && sent < total; sent += len(piece) {
			_, err = w.Write(piece)
		}
	}
	plain := bytes.Repeat([]byte("a"), 1000)
	switch k {
	case Announced:
		write(t.head("POST", "Content-Length: "+strconv.Itoa(t.BodyBytes)), plain, t.BodyBytes-2*len(plain))
	case LargeChunks:
		size := min(largeChunk, t.BodyBytes/4)
		write(t.head("POST", "Transfer-Encoding: chunked"), chunk(size), t.BodyBytes-size)
	case SmallChunks:
		write(t.head("POST", "Transfer-Encoding: chunked"), chunk(smallChunk), t.BodyBytes/smallFraction)
	case OversizeAnnounced:
		write(t.head("POST", "Content-Length: "+strconv.Itoa(oversize)), plain, sentOversize)
	case OversizeChunked:
		write(t.head("POST", "Transfer-Encoding: chunked"), chunk(largeChunk), sentOversize)
	}
}

// progressWriter gives every write a timeout of its own.
type progressWriter struct{ net.Conn }

func (w *progressWriter) Write(p []byte) (int, error) {
	_ = w.SetWriteDeadline(time.Now().Add(writeTimeout))
	return w.Conn.Write(p)
}

// Usage is what a process uses.
type Usage struct {
	// PeakMB is the highest resident memory since the start, Files the number of open descriptors.
	PeakMB, Files int
}

// UsageOf reads the usage of a running process. It fails if the process has ended.
func UsageOf(pid int) (u Usage, err error) {
	dir := filepath.Join("/proc", strconv.Itoa(pid))
	status, err := os.ReadFile(filepath.Join(dir, "status"))
	if err != nil {
		return u, err
	}
	for line := range strings.Lines(string(status)) {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "VmHWM:" {
			kb, err := strconv.Atoi(f[1])
			if err != nil {
				return u, err
			}
			u.PeakMB = kb >> 10
		}
	}
	files, err := os.ReadDir(filepath.Join(dir, "fd"))
	u.Files = len(files)
	if err == nil && u.PeakMB == 0 {
		err = fmt.Errorf("process %d has no memory: it has ended", pid)
	}
	return u, err
}
