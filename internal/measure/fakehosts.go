package measure

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/plantainbank/plantainbank/pkg/process/leader"
	pb "github.com/plantainbank/plantainbank/service/control"
)

// fakeHosts simulates entry hosts that renew their leases and forward announcements of
// backend servers, but serve no requests. It loads control as hundreds of hosts do.
type fakeHosts struct {
	servers  []*pb.Announcement
	renewals atomic.Int64
	bytes    atomic.Int64
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	mu       sync.Mutex
	// arrivals holds for each revision the times at which it reached a host.
	arrivals map[uint64][]time.Time
}

// countingConn adds the bytes that a connection reads and writes to bytes.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Intervals of the simulated hosts. renewWait is the default renewal interval of an entry
// host, after which control answers a renewal even if it has no update for the host.
// announceInterval is the interval between two announcements of a backend server.
const (
	renewWait        = 400 * time.Millisecond
	announceInterval = time.Second
)

// startFakeHosts starts n hosts against the control addresses. The announcements of the
// backend servers are distributed over the hosts.
func startFakeHosts(control []string, n, servers int) *fakeHosts {
	f := &fakeHosts{arrivals: map[uint64][]time.Time{}}
	d := &net.Dialer{}
	tr := &http.Transport{MaxIdleConnsPerHost: n + 8, DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &countingConn{c, &f.bytes}, nil
	}}
	for i := range servers {
		f.servers = append(f.servers, &pb.Announcement{Id: fmt.Sprintf("slips-%d", i), Incarnation: 1, Addr: "127.0.0.1:1",
			Zone: "lahore", Pool: "slips", Kind: "engine", Class: "steady", Bears: 8})
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	for i := range n {
		// Every host has its own client, since each host finds the leader independently.
		client := leader.New(control, &http.Client{Transport: tr}, "http://")
		f.wg.Go(func() { f.run(ctx, client, i, n) })
	}
	return f
}

func (f *fakeHosts) stop() {
	f.cancel()
	f.wg.Wait()
}

// run renews the lease of one host until ctx ends.
func (f *fakeHosts) run(ctx context.Context, client *leader.Client, index, n int) {
	q := &pb.RenewRequest{Host: fmt.Sprintf("host-%d", index), Incarnation: 1, Zone: "lahore", Waitms: uint32(renewWait / time.Millisecond)}
	shares := map[string]uint32{}
	announced := time.Time{}
	for ctx.Err() == nil {
		q.Seq++
		q.Announcements = nil
		if time.Since(announced) >= announceInterval {
			announced = time.Now()
			for i := index; i < len(f.servers); i += n {
				f.servers[i].Seq++
				q.Announcements = append(q.Announcements, f.servers[i])
			}
		}
		q.Holdings = nil
		for id, share := range shares {
			q.Holdings = append(q.Holdings, &pb.Holding{Backend: id, Share: share, Limit: 1, Incarnation: 1})
		}
		f.renew(ctx, client, q, shares)
	}
}

// renew sends one renewal, records the arrival of a new revision and stores the granted
// shares.
func (f *fakeHosts) renew(ctx context.Context, client *leader.Client, q *pb.RenewRequest, shares map[string]uint32) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	var g *pb.Grant
	err := client.CallOnce(ctx, func(ctx context.Context, c pb.Control) (err error) {
		g, err = c.Renew(ctx, q)
		return err
	})
	if err != nil {
		time.Sleep(50 * time.Millisecond)
		return
	}
	f.renewals.Add(1)
	if g.Revision != q.Revision {
		f.mu.Lock()
		f.arrivals[g.Revision] = append(f.arrivals[g.Revision], time.Now())
		f.mu.Unlock()
	}
	q.Revision, q.Term, q.Table = g.Revision, g.Term, g.Table
	clear(shares)
	for _, s := range g.Shares {
		shares[s.Backend] = s.Share
	}
}

// propagationTime returns the time from since until the given revision, or a later one,
// reached the last of n hosts. The second result is false while fewer than n arrivals are
// recorded.
func (f *fakeHosts) propagationTime(since time.Time, revision uint64, n int) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	arrived := 0
	var last time.Time
	for r, times := range f.arrivals {
		if r < revision {
			continue
		}
		arrived += len(times)
		for _, x := range times {
			if x.After(last) {
				last = x
			}
		}
	}
	return last.Sub(since), arrived >= n
}
