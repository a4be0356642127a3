package socket

import (
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// echoAll echoes one byte on every connection until the listener closes.
func echoAll(lis net.Listener) {
	var wg sync.WaitGroup
	for {
		c, err := lis.Accept()
		if err != nil {
			break
		}
		wg.Go(func() {
			defer c.Close()
			var p [1]byte
			if _, err := io.ReadFull(c, p[:]); err == nil {
				c.Write(p[:])
			}
		})
	}
	wg.Wait()
}

// openConns opens n connections and writes one byte to each, without waiting for Accept.
func openConns(t *testing.T, lis net.Listener, n int) []net.Conn {
	t.Helper()
	var all []net.Conn
	for range n {
		c, err := net.Dial("tcp", lis.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		if _, err := c.Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
		all = append(all, c)
	}
	return all
}

// countAnswered returns the number of connections on which a byte is received.
func countAnswered(t *testing.T, all []net.Conn) int {
	t.Helper()
	n := 0
	for _, c := range all {
		if err := c.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
			t.Fatal(err)
		}
		var p [1]byte
		_, err := io.ReadFull(c, p[:])
		if err == nil {
			n++
		} else if errors.Is(err, io.EOF) {
			t.Error("a connection was closed without a response")
		}
	}
	return n
}

// TestCloseServesEstablishedConnections closes a listener before any of the established
// connections is accepted. A plain listener resets them all.
func TestCloseServesEstablishedConnections(t *testing.T) {
	const n = 20
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	all := openConns(t, plain, n)
	plain.Close()
	echoAll(plain)
	if got := countAnswered(t, all); got != 0 {
		t.Fatalf("a plain listener serves %d connections, want 0; the test proves nothing", got)
	}

	lis, err := Listen(t.Context(), "127.0.0.1:0", time.Second)
	if err != nil {
		t.Fatal(err)
	}
	all = openConns(t, lis, n)
	closed := make(chan error)
	go func() { closed <- lis.Close() }()
	echoAll(lis)
	if got := countAnswered(t, all); got != n {
		t.Fatalf("%d of %d connections were served", got, n)
	}
	if err := <-closed; err != nil {
		t.Fatal(err)
	}
	if _, err := net.DialTimeout("tcp", lis.Addr().String(), time.Second); err == nil {
		t.Fatal("a closed listener accepts connections")
	}
}

// TestCloseWithoutAccept closes a listener whose Accept is not called: Close returns, and
// the established connection is closed.
func TestCloseWithoutAccept(t *testing.T) {
	lis, err := Listen(t.Context(), "127.0.0.1:0", time.Second)
	if err != nil {
		t.Fatal(err)
	}
	all := openConns(t, lis, 1)
	if err := lis.Close(); err != nil {
		t.Fatal(err)
	}
	var p [1]byte
	if _, err := all[0].Read(p[:]); err == nil {
		t.Fatal("received a byte on a connection that was never accepted")
	}
}

// TestCloseUnderNewConnections closes a listener while callers open a connection for
// each request: each connection is served or refused, and none is reset.
func TestCloseUnderNewConnections(t *testing.T) {
	for range 5 {
		lis, err := Listen(t.Context(), "127.0.0.1:0", time.Second)
		if err != nil {
			t.Fatal(err)
		}
		served := make(chan struct{})
		go func() { echoAll(lis); close(served) }()
		var callers sync.WaitGroup
		var mu sync.Mutex
		n := 0
		for range 8 {
			callers.Go(func() {
				for {
					c, err := net.DialTimeout("tcp", lis.Addr().String(), 10*time.Second)
					if err != nil {
						return // refused
					}
					if _, err := c.Write([]byte("x")); err != nil {
						t.Errorf("connection failed during the write: %v", err)
					}
					var p [1]byte
					if _, err := io.ReadFull(c, p[:]); err != nil {
						t.Errorf("connection failed before the response: %v", err)
					}
					c.Close()
					mu.Lock()
					n++
					mu.Unlock()
				}
			})
		}
		for enough := false; !enough; time.Sleep(time.Millisecond) {
			mu.Lock()
			enough = n > 50
			mu.Unlock()
		}
		if err := lis.Close(); err != nil {
			t.Fatal(err)
		}
		callers.Wait()
		<-served
	}
}
