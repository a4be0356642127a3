package control

import (
	"errors"
	"net"
	"testing"
	"time"
)

// TestGuardedConnStopsWithTheLease freezes an order between check and write.
func TestGuardedConnStopsWithTheLease(t *testing.T) {
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
			g := &guardedConn{Conn: near, term: 7, holds: func() (uint64, time.Duration, bool) { return c.term, 0, c.ok }}
			_, err := g.Write([]byte("order"))
			var noLease *NoLeaseError
			if c.sent != (err == nil) || (!c.sent && !errors.As(err, &noLease)) {
				t.Fatalf("error is %v", err)
			}
		})
	}
}
