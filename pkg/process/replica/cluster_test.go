package replica

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/plantainbank/plantainbank/pkg/process/disk"
	"github.com/plantainbank/plantainbank/pkg/process/quorum"
	"github.com/plantainbank/plantainbank/service/peer"
)

// writeUnlessFull wraps write with a function that fails with ENOSPC while full is set.
func writeUnlessFull(full *bool, write func(*os.File, []byte) (int, error)) func(*os.File, []byte) (int, error) {
	return func(f *os.File, p []byte) (int, error) {
		if *full {
			return 0, syscall.ENOSPC
		}
		return write(f, p)
	}
}

// waitUntil polls until ok returns true, and fails the test after a minute.
func waitUntil(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(time.Minute); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting until %s", what)
		}
	}
}

// replicaHost is a host of a cluster. Its address is fixed, its replica can be replaced.
type replicaHost struct {
	server  *httptest.Server
	handler atomic.Pointer[http.Handler]
	replica atomic.Pointer[Replica]
	stop    func()
	dir     string
	// down is since when the process does not run, in Unix nanoseconds; zero while it runs.
	down atomic.Int64
	// cut is true while the host reaches no other and none reaches it.
	cut   atomic.Bool
	mu    sync.Mutex
	state []byte
}

// RoundTrip sends the calls of the host.
func (h *replicaHost) RoundTrip(r *http.Request) (*http.Response, error) {
	if h.cut.Load() {
		return nil, errors.New("the host is cut off")
	}
	return http.DefaultTransport.RoundTrip(r)
}

func (h *replicaHost) serve(w http.ResponseWriter, r *http.Request) {
	if h.cut.Load() || h.down.Load() != 0 {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	(*h.handler.Load()).ServeHTTP(w, r)
}

// cluster is a group of replicas on loopback addresses. Its state is the concatenation of
// all proposals.
type cluster struct {
	mu       sync.Mutex
	hosts    []*replicaHost
	replicas int
	// files returns the file operations of a host.
	files func(i int) disk.Files
}

func newCluster(t *testing.T, n int) *cluster {
	t.Helper()
	return newClusterOf(t, n, n, func(int) disk.Files { return disk.RealFiles() })
}

// newClusterOf starts n hosts, of which the first replicas are the initial voters.
func newClusterOf(t *testing.T, n, replicas int, files func(i int) disk.Files) *cluster {
	t.Helper()
	c := &cluster{replicas: replicas, files: files}
	for range n {
		c.newHost(t)
	}
	var members quorum.Members
	for i, h := range c.hosts {
		c.start(t, i)
		if i < replicas {
			members = append(members, quorum.Member{ID: quorum.NodeID(h.replica.Load().Disk()), Addr: h.addr()})
		}
	}
	if err := c.hosts[0].replica.Load().Bootstrap(t.Context(), members); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		for _, h := range c.hosts {
			if h.down.Load() == 0 {
				h.stop()
			}
		}
	})
	return c
}

func (c *cluster) newHost(t *testing.T) *replicaHost {
	t.Helper()
	h := &replicaHost{}
	h.server = httptest.NewServer(http.HandlerFunc(h.serve))
	t.Cleanup(h.server.Close)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hosts = append(c.hosts, h)
	return h
}

func (h *replicaHost) addr() string { return h.server.Listener.Addr().String() }

// leader returns the number of the host that leads.
func (c *cluster) leader(t *testing.T) (leader int) {
	t.Helper()
	waitUntil(t, "there is a leader", func() bool {
		leader = slices.IndexFunc(c.hosts, func(h *replicaHost) bool { _, _, ok := h.replica.Load().Node().HoldsLease(); return ok })
		return leader >= 0
	})
	return leader
}

// start starts a replica with an empty disk on a host.
func (c *cluster) start(t *testing.T, i int) {
	t.Helper()
	c.hosts[i].dir = dataDir(t)
	c.restart(t, i)
}

// kill stops the replica of a host at once.
func (c *cluster) kill(i int) {
	h := c.hosts[i]
	h.down.Store(time.Now().UnixNano())
	h.stop()
}

// restart starts a replica on a host with the disk that it has.
func (c *cluster) restart(t *testing.T, i int) {
	t.Helper()
	h := c.hosts[i]
	log := logrus.New()
	log.SetOutput(io.Discard)
	h.mu.Lock()
	h.state = nil
	h.mu.Unlock()
	r, err := New(Config{Dir: h.dir, Self: h.addr(), Replicas: c.replicas, Files: c.files(i),
		Timing: quorum.DefaultTiming(), Client: &http.Client{Transport: h}, Log: logrus.NewEntry(log),
		Apply: func(_ uint64, data []byte) any {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.state = append(h.state, data...)
			return nil
		},
		Save:    func() []byte { return slices.Clone(h.state) },
		Restore: h.restore,
		Freeze: func() func(io.Writer) error {
			captured := h.state[:len(h.state):len(h.state)] // the state only grows
			return func(w io.Writer) error { _, err := w.Write(captured); return err }
		},
		Changed: func(quorum.Status) {}, Hosts: c.listHosts})
	if err != nil {
		t.Fatal(err)
	}
	h.replica.Store(r)
	handler := http.Handler(peer.NewPeerServer(r.Service()))
	h.handler.Store(&handler)
	h.down.Store(0)
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- r.Run(ctx) }()
	h.stop = func() {
		cancel()
		if err := <-stopped; err != nil {
			t.Error(err)
		}
		r.Close()
	}
}

// dataDir returns a temporary directory. A snapshot may still be written to it for a moment after its
// replica has stopped.
func dataDir(t *testing.T) string {
	t.Helper()
	dir, err := os.MkdirTemp("", "replica")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { waitUntil(t, "the directory is removed", func() bool { return os.RemoveAll(dir) == nil }) })
	return dir
}

func (h *replicaHost) restore(r io.Reader) error {
	data, err := io.ReadAll(r)
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.state = data
	return nil
}

// listHosts returns the hosts for Plan.
func (c *cluster) listHosts() []Host {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []Host
	for _, h := range c.hosts {
		r := h.replica.Load()
		if r == nil || h.cut.Load() {
			continue // not started yet, or not known to control
		}
		contact := time.Now()
		if down := h.down.Load(); down != 0 {
			contact = time.Unix(0, down)
		}
		out = append(out, Host{Name: h.addr(), Zone: h.addr(), Addr: h.addr(), Disk: r.Disk(), LastContact: contact})
	}
	return out
}

// propose commits data through the current leader.
func (c *cluster) propose(t *testing.T, data []byte) {
	t.Helper()
	waitUntil(t, "a leader commits", func() bool {
		for _, h := range c.hosts {
			if _, err := h.replica.Load().Node().Propose(t.Context(), data); err == nil {
				return true
			}
		}
		return false
	})
}

// wipe replaces a replica by one with an empty disk and the same address.
func (c *cluster) wipe(t *testing.T, i int) {
	t.Helper()
	c.hosts[i].stop()
	c.start(t, i)
}

// stateOf returns a copy of a replica's state.
func (c *cluster) stateOf(i int) []byte {
	h := c.hosts[i]
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.state)
}
