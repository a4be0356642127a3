package links

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

// network is a fake network to servers, some of which are down.
type network struct {
	mu sync.Mutex
	// cut drops all packets, refused answers them with a reset.
	cut, refused bool
	down         map[string]bool
	dialed       int
}

func (n *network) set(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
}

func (n *network) dial(ctx context.Context, addr string) (net.Conn, error) {
	n.mu.Lock()
	n.dialed++
	cut, refused := n.cut, n.refused || n.down[addr]
	n.mu.Unlock()
	if cut {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(2 * time.Millisecond)
	if refused {
		return nil, errors.New("refused")
	}
	a, b := net.Pipe()
	b.Close()
	return a, nil
}

// servers returns servers of two services in two zones.
func servers(n int) []Server {
	var out []Server
	for i := range n {
		out = append(out, Server{ID: fmt.Sprintf("i-%d", i), Addr: fmt.Sprintf("a-%d", i), Service: fmt.Sprintf("s-%d", i%2), Zone: fmt.Sprintf("z-%d", i/2%2)})
	}
	return out
}

type verdicts struct {
	mu  sync.Mutex
	all []Change
	at  []time.Time
}

func (v *verdicts) add(c Change) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.all, v.at = append(v.all, c), append(v.at, time.Now())
}

func (v *verdicts) list() ([]Change, []time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]Change(nil), v.all...), append([]time.Time(nil), v.at...)
}

func startMonitor(ctx context.Context, n *network, all []Server) (*Monitor, *verdicts) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	v := &verdicts{}
	m := New(Config{Servers: func() []Server { return all }, Dial: n.dial, Changed: v.add, Log: logrus.NewEntry(log), Scope: tally.NoopScope})
	go m.Run(ctx)
	return m, v
}

// TestLostLinksAreToldFromLostServers replays cuts and outages, with and without requests.
func TestLostLinksAreToldFromLostServers(t *testing.T) {
	for _, c := range []struct {
		name string
		// fail changes the network; attempts are the servers that then fail, 50 ms apart.
		fail     func(n *network)
		attempts []string
		lost     bool
		// within bounds the time until the verdict.
		within time.Duration
	}{
		{"nothing happens", func(*network) {}, nil, false, 0},
		{"a cut under requests", func(n *network) { n.cut = true }, []string{"i-0", "i-1"}, true, 700 * time.Millisecond},
		{"a cut without requests", func(n *network) { n.cut = true }, nil, true, 2500 * time.Millisecond},
		{"new connections are refused", func(n *network) { n.refused = true }, []string{"i-0", "i-1"}, true, 200 * time.Millisecond},
		{"one server is down", func(n *network) { n.down["a-0"] = true }, []string{"i-0", "i-0", "i-0", "i-0"}, false, 0},
		{"a service is down", func(n *network) {
			for i := 0; i < 20; i += 2 {
				n.down[fmt.Sprintf("a-%d", i)] = true
			}
		}, []string{"i-0", "i-2", "i-4", "i-6", "i-8"}, false, 0},
		{"a quarter of the servers are left", func(n *network) {
			for i := 5; i < 20; i++ {
				n.down[fmt.Sprintf("a-%d", i)] = true
			}
		}, []string{"i-7", "i-8"}, false, 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			n := &network{down: map[string]bool{}}
			m, v := startMonitor(ctx, n, servers(20))
			for range 10 {
				time.Sleep(100 * time.Millisecond)
				m.Responded()
			}
			start := time.Now()
			n.set(func() { c.fail(n) })
			for _, id := range c.attempts {
				time.Sleep(50 * time.Millisecond)
				m.Failed(id)
			}
			time.Sleep(3 * time.Second)
			synctest.Wait()
			got, at := v.list()
			if (len(got) == 1 && got[0].Lost) != c.lost || m.Lost() != c.lost {
				t.Fatalf("%s: lost %v, changes %+v", c.name, m.Lost(), got)
			}
			if !c.lost {
				return
			}
			if took := at[0].Sub(start); took > c.within+100*time.Millisecond {
				t.Errorf("%s: lost after %v, want %v", c.name, took, c.within)
			}
			m.Responded() // over a connection that lives on
			if !m.Lost() {
				t.Errorf("%s: a response over an old connection ended the verdict", c.name)
			}
			healed := time.Now()
			n.set(func() { n.cut, n.refused = false, false })
			time.Sleep(time.Second)
			synctest.Wait()
			got, at = v.list()
			if len(got) != 2 || got[1].Lost || at[1].Sub(healed) > time.Second || got[1].Since.After(healed) {
				t.Errorf("%s: after the cut: %+v", c.name, got)
			}
		})
	}
}

// TestProbesAreFew counts the connections that a host without requests opens.
func TestProbesAreFew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		n := &network{down: map[string]bool{}}
		_, v := startMonitor(ctx, n, servers(20))
		time.Sleep(time.Minute)
		synctest.Wait()
		if got, _ := v.list(); len(got) > 0 || n.dialed > 61 {
			t.Errorf("%d connections in a minute, changes %+v", n.dialed, got)
		}
		n.set(func() { n.cut, n.dialed = true, 0 })
		time.Sleep(time.Minute)
		synctest.Wait()
		if n.dialed > 360 {
			t.Errorf("%d connections in a minute without links", n.dialed)
		}
	})
}

func TestSampleSpreadsOverServicesAndZones(t *testing.T) {
	got := map[string]bool{}
	for _, x := range Sample(servers(40), 4) {
		got[x.Service+x.Zone] = true
	}
	if len(got) != 4 {
		t.Errorf("four servers of %d services and zones, want 4", len(got))
	}
	if n := len(Sample(servers(3), 6)); n != 3 {
		t.Errorf("%d of 3 servers", n)
	}
	if n := len(Sample(nil, 6)); n != 0 {
		t.Errorf("%d of no servers", n)
	}
}

// TestRelayedRequestsAreShared replays a flood of one workspace beside few requests of others.
func TestRelayedRequestsAreShared(t *testing.T) {
	g := NewGate()
	flood := 0
	for g.Enter("flood") {
		flood++
	}
	if flood != maxRelayed {
		t.Errorf("a single workspace got %d places, want %d", flood, maxRelayed)
	}
	for range flood {
		g.Leave("flood")
	}
	got := map[string]int{}
	for range 10 * maxRelayed {
		for _, w := range []string{"flood", "flood", "flood", "flood", "a", "b"} {
			if g.Enter(w) {
				got[w]++
			}
		}
	}
	if got["a"] < maxRelayed/6 || got["b"] < maxRelayed/6 || got["flood"]+got["a"]+got["b"] > maxRelayed {
		t.Errorf("places by workspace: %v", got)
	}
	for w, n := range got {
		for range n {
			g.Leave(w)
		}
	}
	if g.total != 0 || len(g.running) != 0 {
		t.Errorf("places left over: %+v", g.running)
	}
}
