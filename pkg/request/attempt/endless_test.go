package attempt

import (
	"context"
	"errors"
	"io"
	"net"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// endless sends a head and then the same bytes until its caller closes the connection.
func endless(head, more string) func(net.Conn, int) bool {
	block := []byte(strings.Repeat(more, 64<<10/len(more)))
	return func(c net.Conn, _ int) bool {
		io.WriteString(c, head)
		for {
			if _, err := c.Write(block); err != nil {
				return false
			}
		}
	}
}

// endlessForms are the ways in which a backend server may send bytes that are no response
// without end.
var endlessForms = []struct{ name, head, more string }{
	{"no protocol at all", "", "\x00\x17\xff?"},
	{"status line", "HTTP/1.1 200 ", "O"},
	{"header line", "HTTP/1.1 200 OK\r\nX-A: ", "a"},
	{"header lines", "HTTP/1.1 200 OK\r\n", "X-A: b\r\n"},
	{"informational responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	{"body up to the close", "HTTP/1.1 200 OK\r\n\r\n", "data"},
	{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\ndata\r\n"},
	{"chunk header", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;x=", "y"},
	{"chunk size", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
	{"trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: b\r\n"},
	{"refusal body", "HTTP/1.1 503 Busy\r\n\r\n", "no"},
	{"event without an end", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: ", "x"},
	{"comments", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n", ": here\n"},
}

// TestEndlessResponsesAreBounded sends each form over 20 connections at once, as a plain
// response and as a stream. Every attempt must fail and close its connection, and the bodies
// that are being received must stay within MaxBufferedBytes.
func TestEndlessResponsesAreBounded(t *testing.T) {
	const (
		parallel    = 20
		maxBody     = 32 << 20
		maxBuffered = 4 << 20
	)
	for _, form := range endlessForms {
		for _, stream := range []bool{false, true} {
			s := serve(t, endless(form.head, form.more))
			client := NewClient()
			client.MaxBufferedBytes = maxBuffered
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			peak := watchHeap(t)
			var wg sync.WaitGroup
			for range parallel {
				wg.Go(func() {
					err := receive(ctx, client, s, stream, maxBody)
					var e *Error
					if err == nil || ctx.Err() != nil || !stream && !errors.As(err, &e) {
						t.Errorf("%s, stream %v: error %v, timed out: %v", form.name, stream, err, ctx.Err() != nil)
					}
				})
			}
			wg.Wait()
			cancel()
			if n := peak(); n > 8*maxBuffered {
				t.Errorf("%s, stream %v: the heap grew by %d MB", form.name, stream, n>>20)
			}
			if n := client.buffered.Load(); n != 0 {
				t.Errorf("%s, stream %v: %d bytes are still counted as buffered", form.name, stream, n)
			}
			if client.Idle(s.lis.Addr().String()) {
				t.Errorf("%s, stream %v: a connection is reused", form.name, stream)
			}
		}
	}
}

// receive reads one response to its end.
func receive(ctx context.Context, client *Client, s *scriptedServer, stream bool, maxBody int) error {
	a, err := client.Do(ctx, s.lis.Addr().String(), post("x"), Options{Stream: stream, MaxBodyBytes: maxBody, CloseDelimited: true,
		IdleTimeout: 5 * time.Second})
	if err != nil || a.Body == nil {
		return err
	}
	defer a.Close(false)
	a.Expect(1<<20, 5*time.Second)
	_, err = io.Copy(io.Discard, a.Body)
	return err
}

// watchHeap samples the heap until the function that it returns is called, which returns by how
// many bytes it grew at most.
func watchHeap(t *testing.T) (peak func() int64) {
	t.Helper()
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	before, most := int64(m.HeapAlloc), int64(0)
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		tick := time.NewTicker(2 * time.Millisecond)
		defer tick.Stop()
		for {
			select {
			case <-done:
				return
			case <-tick.C:
			}
			runtime.ReadMemStats(&m)
			most = max(most, int64(m.HeapAlloc)-before)
		}
	}()
	return func() int64 {
		close(done)
		<-ended
		return most
	}
}

// TestBodyAtItsLimit reads bodies of the largest size, and one byte more, in each framing.
func TestBodyAtItsLimit(t *testing.T) {
	const limit = 1000
	for _, c := range []struct {
		name string
		head func(n int) string
	}{
		{"length", func(n int) string {
			return "HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(n) + "\r\n\r\n" + strings.Repeat("x", n)
		}},
		{"close", func(n int) string { return "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", n) }},
		{"chunk", func(n int) string {
			return chunkedResponse(strings.Repeat("x", n)) + "0\r\n\r\n"
		}},
	} {
		for _, n := range []int{limit, limit + 1} {
			s := serve(t, write(c.head(n)))
			a, err := NewClient().Do(context.Background(), s.lis.Addr().String(), post("x"), Options{MaxBodyBytes: limit, CloseDelimited: true})
			var tooLarge *BodyLimitError
			switch {
			case n <= limit && (err != nil || len(a.Response.Body()) != n):
				t.Errorf("%s of %d bytes: %v", c.name, n, err)
			case n > limit && (!errors.As(err, &tooLarge) || tooLarge.Limit != limit):
				t.Errorf("%s of %d bytes: error %v", c.name, n, err)
			}
		}
	}
}
