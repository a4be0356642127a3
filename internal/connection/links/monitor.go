package links

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

const (
	// checkInterval is how often the evidence is checked, retryInterval how often servers are
	// probed while the links are lost.
	checkInterval = 500 * time.Millisecond
	retryInterval = 250 * time.Millisecond
	// probeTimeout bounds opening a connection. Hosts are a few milliseconds apart.
	probeTimeout = 300 * time.Millisecond
	// slowConnect is the time from which a connection that does not open is evidence.
	slowConnect = 150 * time.Millisecond
)

// Config holds the dependencies of a Monitor.
type Config struct {
	// Servers returns the servers that requests may be sent to.
	Servers func() []Server
	Dial    func(ctx context.Context, addr string) (net.Conn, error)
	// DialSentinel opens a connection whose end is noticed soon, also if the server is cut off.
	DialSentinel func(ctx context.Context, addr string) (net.Conn, error)
	// Changed is called on the monitor's goroutine after each change of the verdict.
	Changed func(Change)
	Log     *logrus.Entry
	Scope   tally.Scope
}

// Monitor probes servers as the evidence requires. A nil Monitor takes the links for good.
type Monitor struct {
	cfg     Config
	tracker *Tracker
	wake    chan struct{}
	// probedAt is when servers were last probed on suspicion.
	probedAt time.Time
	// sentinel is a connection without requests. While it is open, the links are not lost, so that a host
	// without requests need not open others.
	sentinel net.Conn
	// sentinelEnded is closed when sentinel has ended, sentinelOpened is when it was opened.
	sentinelEnded  chan struct{}
	sentinelOpened time.Time
}

// New returns a monitor that is not running yet.
func New(cfg Config) *Monitor {
	return &Monitor{cfg: cfg, tracker: NewTracker(time.Now()), wake: make(chan struct{}, 1)}
}

// Lost reports whether the links to all servers are lost.
func (m *Monitor) Lost() bool { return m != nil && m.tracker.Lost() }

// Responded records a response of a server.
func (m *Monitor) Responded() {
	if m != nil {
		m.tracker.Responded(time.Now())
	}
}

// Dial opens a connection for requests.
func (m *Monitor) Dial(ctx context.Context, addr string) (net.Conn, error) {
	slow := time.AfterFunc(slowConnect, func() { m.Failed(addr) })
	defer slow.Stop()
	return m.cfg.Dial(ctx, addr)
}

// Failed records that the server at an address could not be reached, or has ended the connection
// without a response.
func (m *Monitor) Failed(addr string) {
	if m != nil && m.tracker.Failed(addr, time.Now()) {
		select {
		case m.wake <- struct{}{}:
		default:
		}
	}
}

// Run probes servers until ctx ends.
func (m *Monitor) Run(ctx context.Context) {
	defer m.closeSentinel()
	for ctx.Err() == nil {
		interval := checkInterval
		if m.tracker.Lost() {
			interval = retryInterval
		}
		timer := time.NewTimer(interval)
		due := true
		select {
		case <-ctx.Done():
		case <-m.wake:
		case <-timer.C:
		case <-m.sentinelEnded:
			m.closeSentinel()
			due = time.Since(m.sentinelOpened) > checkInterval // some servers take no connection without requests
		}
		timer.Stop()
		if due {
			m.check(ctx)
		}
	}
}

// check probes servers if there is reason to: more and more of them, until a connection opens.
func (m *Monitor) check(ctx context.Context) {
	var sizes []int
	now := time.Now()
	switch {
	case m.tracker.Lost():
		sizes = []int{retrySize}
	case m.tracker.Suspicious() && now.Sub(m.probedAt) >= retryInterval:
		m.probedAt = now
		sizes = []int{sampleSize, confirmSize}
	case m.tracker.Quiet(now):
		if m.sentinel != nil || m.openSentinel(ctx) {
			return
		}
		sizes = []int{confirmSize}
	default:
		return
	}
	probed, opened := 0, 0
	for _, n := range sizes {
		if probed, opened = m.probe(ctx, n); probed == 0 || opened > 0 {
			break
		}
	}
	if ctx.Err() == nil {
		m.judge(probed, opened)
	}
}

func (m *Monitor) judge(probed, opened int) {
	now := time.Now()
	c, changed := m.tracker.Judge(probed, opened, now)
	if !changed {
		return
	}
	entry := m.cfg.Log.WithFields(logrus.Fields{"probed": probed, "opened": opened, "since_ms": now.Sub(c.Since).Milliseconds()})
	if c.Lost {
		m.closeSentinel()
		m.cfg.Scope.Counter("links_lost").Inc(1)
		entry.Warn("links to all backend servers are lost")
	} else {
		entry.Info("links to backend servers are back")
	}
	m.cfg.Changed(c)
}

// openSentinel opens a connection to any server and reports whether that is no reason to probe others.
func (m *Monitor) openSentinel(ctx context.Context) bool {
	sample := Sample(m.cfg.Servers(), 1)
	if len(sample) == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	m.cfg.Scope.Counter("link_probes").Inc(1)
	c, err := m.cfg.DialSentinel(ctx, sample[0].Addr)
	if err != nil {
		return false
	}
	ended := make(chan struct{})
	m.sentinel, m.sentinelEnded, m.sentinelOpened = c, ended, time.Now()
	go func() {
		defer close(ended)
		_, _ = c.Read(make([]byte, 1)) // servers send nothing without a request
	}()
	return true
}

func (m *Monitor) closeSentinel() {
	if m.sentinel != nil {
		m.sentinel.Close()
		m.sentinel, m.sentinelEnded = nil, nil
	}
}

// probe opens connections to servers at the same time and closes them.
func (m *Monitor) probe(ctx context.Context, n int) (probed, opened int) {
	sample := Sample(m.cfg.Servers(), n)
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var count atomic.Int32
	var wg sync.WaitGroup
	for _, x := range sample {
		wg.Go(func() {
			c, err := m.cfg.Dial(ctx, x.Addr)
			if err != nil {
				return
			}
			c.Close()
			count.Add(1)
			cancel() // one open connection decides
		})
	}
	wg.Wait()
	m.cfg.Scope.Counter("link_probes").Inc(int64(len(sample)))
	return len(sample), int(count.Load())
}
