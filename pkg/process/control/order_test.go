package control

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/plantainbank/plantainbank/pkg/process/quorum"
)

// TestNoOrderWithoutLease checks that a process without a lease sends no byte of an order.
func TestNoOrderWithoutLease(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer lis.Close()
	sent := make(chan int, 1)
	go func() {
		c, err := lis.Accept()
		if err != nil {
			sent <- 0
			return
		}
		n, _ := c.Read(make([]byte, 1))
		c.Close()
		sent <- n
	}()
	node, err := quorum.NewNode(quorum.Config{ID: 1, Timing: quorum.DefaultTiming()})
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{node: node}
	s.orderClient = s.newOrderClient()
	if s.mayRunLeaderTasks(time.Now()) {
		t.Error("a follower may run leader tasks")
	}
	_, err = s.postOrder(t.Context(), "http://"+lis.Addr().String(), 1, []byte("order"))
	var noLease *NoLeaseError
	if !errors.As(err, &noLease) {
		t.Errorf("error is %v, want NoLeaseError", err)
	}
	lis.Close()
	if n := <-sent; n != 0 {
		t.Error("bytes of an order were sent without a lease")
	}
}

// TestGuardedConnWriteNeedsLease checks that an order is not written if the lease has ended
// or has been replaced by one of a later term since the check in postOrder, as happens when
// the process is suspended in between.
func TestGuardedConnWriteNeedsLease(t *testing.T) {
	for _, c := range []struct {
		name string
		term uint64
		ok   bool
		sent bool
	}{
		{"lease held", 7, true, true},
		{"lease ended", 7, false, false},
		{"lease of a later term", 8, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			near, far := net.Pipe()
			defer near.Close()
			go func() {
				far.Read(make([]byte, 16))
				far.Close()
			}()
			g := &guardedConn{Conn: near, term: 7, holdsLease: func() (uint64, time.Duration, bool) { return c.term, 0, c.ok }}
			_, err := g.Write([]byte("order"))
			var noLease *NoLeaseError
			if c.sent != (err == nil) || (!c.sent && !errors.As(err, &noLease)) {
				t.Fatalf("error is %v, want NoLeaseError unless the order may be sent", err)
			}
		})
	}
}

// TestInvalidAnswerToAnOrder guards against an answer that counts though the name of a field is none: an order as
// carried out, a usage report as received.
func TestInvalidAnswerToAnOrder(t *testing.T) {
	for _, c := range []struct {
		line string
		ok   bool
	}{
		{"X-A: b", true}, {"x-a: b c", true},
		{"X A: b", false}, {"X-A : b", false}, {"X-A\x00: b", false}, {"X-\tA: b", false}, {": b", false}, {"Content Length: 9", false}, {"Transfer-Encoding : chunked", false},
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				return
			}
			defer conn.Close()
			io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+c.line+"\r\nContent-Length: 11\r\n\r\n{\"short\":3}")
		}))
		var answer []byte
		res, err := server.Client().Post(server.URL, "application/json", nil)
		if err == nil {
			answer, err = readAnswer(res)
		}
		if ok := err == nil && string(answer) == `{"short":3}`; ok != c.ok {
			t.Errorf("%q: answer %q, error %v, want ok %v", c.line, answer, err, c.ok)
		}
		server.Close()
	}
}
