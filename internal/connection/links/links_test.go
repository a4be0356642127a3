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
	// sentinel is the server's end of the latest sentinel connection.
	sentinel net.Conn
}

// noticeTime is the time until a sentinel connection ends after a cut.
const noticeTime = 2 * time.Second

func (n *network) dialSentinel(ctx context.Context, addr string) (net.Conn, error) {
	c, err := n.dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	c.Close()
	a, b := net.Pipe()
	n.set(func() { n.sentinel = b })
	return a, nil
}

// endSentinel ends the sentinel connection, as keep-alive probes do.
func (n *network) endSentinel() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.sentinel != nil {
		n.sentinel.Close()
	}
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
	m := New(Config{Servers: func() []Server { return all }, Dial: n.dial, DialSentinel: n.dialSentinel, Changed: v.add, Log: logrus.NewEntry(log), Scope: tally.NoopScope})
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
		{"a cut without requests", func(n *network) { n.cut = true }, nil, true, noticeTime + 700*time.Millisecond},
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
			if c.attempts == nil {
				time.Sleep(5 * time.Second)
			}
			start := time.Now()
			n.set(func() { c.fail(n) })
			if n.cut {
				time.AfterFunc(noticeTime, n.endSentinel)
			}
			for _, id := range c.attempts {
				time.Sleep(50 * time.Millisecond)
				m.Failed(id)
			}
			time.Sleep(4 * time.Second)
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
	for _, c := range []struct {
		name string
		// every is the time after which servers end a connection without requests; zero is never.
		every time.Duration
		most  int
	}{
		{"servers keep connections", 0, 1},
		{"servers end connections after 10 s", 10 * time.Second, 7},
		{"servers end connections at once", time.Millisecond, 120},
	} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			n := &network{down: map[string]bool{}}
			_, v := startMonitor(ctx, n, servers(20))
			for end := time.Now().Add(time.Minute); time.Now().Before(end); {
				time.Sleep(max(c.every, time.Millisecond))
				if c.every > 0 {
					n.endSentinel()
				}
			}
			time.Sleep(time.Second)
			synctest.Wait()
			if got, _ := v.list(); len(got) > 0 || n.dialed > c.most {
				t.Errorf("%s: %d connections in a minute, at most %d; changes %+v", c.name, n.dialed, c.most, got)
			}
			n.set(func() { n.cut, n.dialed = true, 0 })
			n.endSentinel()
			time.Sleep(time.Minute)
			synctest.Wait()
			if got, _ := v.list(); len(got) != 1 || n.dialed > 400 {
				t.Errorf("%s: %d connections in a minute without links, changes %+v", c.name, n.dialed, got)
			}
		})
	}
}

// TestSlowConnectionIsEvidence lets a request wait for a connection that does not open: the verdict comes
// before its attempt has failed.
func TestSlowConnectionIsEvidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		n := &network{down: map[string]bool{}, cut: true}
		m, v := startMonitor(ctx, n, servers(20))
		m.Responded()
		start := time.Now()
		for _, x := range servers(2) {
			go func() {
				dialCtx, stop := context.WithTimeout(ctx, 600*time.Millisecond)
				defer stop()
				_, _ = m.Dial(dialCtx, x.Addr)
			}()
		}
		time.Sleep(2 * time.Second)
		synctest.Wait()
		if got, at := v.list(); len(got) != 1 || !got[0].Lost || at[0].Sub(start) > 800*time.Millisecond {
			t.Errorf("changes %+v at %v", got, at)
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
