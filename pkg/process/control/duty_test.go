package control

import (
	"errors"
	"net"
	"testing"
	"time"

	"github.com/plantainbank/plantainbank/pkg/process/quorum"
)

// TestNoLeaseNoOrder asks a process without a lease to send an order: none of
// its bytes reaches the receiver.
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
		t.Error("a follower is in charge")
	}
	_, err = s.postOrder(t.Context(), "http://"+lis.Addr().String(), 1, []byte("order"))
	var noLease *NoLeaseError
	if !errors.As(err, &noLease) {
		t.Errorf("error is %v", err)
	}
	lis.Close()
	if n := <-sent; n != 0 {
		t.Error("bytes of an order were sent without a lease")
	}
}

// TestGuardedConnStopsWithTheLease freezes an order between check and write.
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
				t.Fatalf("error is %v", err)
			}
		})
	}
}
