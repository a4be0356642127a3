package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/plantainbank/plantainbank/internal/connection/dialect"
	"github.com/plantainbank/plantainbank/internal/connection/place"
	"github.com/plantainbank/plantainbank/internal/process/feed"
	"github.com/plantainbank/plantainbank/internal/request/forward"
	"github.com/plantainbank/plantainbank/pkg/process/settings"
	"github.com/plantainbank/plantainbank/pkg/request/attempt"
	"github.com/plantainbank/plantainbank/service/fleet"
)

// idlePeriod is how often unused connections to backend servers are looked at.
const idlePeriod = time.Second

// Config holds what New needs.
type Config struct {
	Site    settings.Site
	Log     *logrus.Entry
	Scope   tally.Scope
	Client  *http.Client
	Servers *attempt.Client
	Headers dialect.Headers
}

// Server is an entry process.
type Server struct {
	cfg       Config
	log       *logrus.Entry
	feed      *feed.Feed
	table     *place.Table
	forwarder *forward.Forwarder
	usage     *usage
	batches   *batches
	leaving   atomic.Bool
	// known is closed once a configuration and the servers are known.
	known     chan struct{}
	knownOnce sync.Once
}

// New prepares the process.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg, log: cfg.Log, table: place.NewTable(), usage: newUsage(cfg.Site.Bounds.Window.Duration()),
		known: make(chan struct{})}
	s.table.Zone = cfg.Site.Zone
	s.table.Overage, s.table.Slack = cfg.Site.Bounds.Overage, cfg.Site.Bounds.Slack
	s.table.Connected = cfg.Servers.Idle
	s.forwarder = forward.New(forward.Config{Table: s.table, Client: cfg.Servers, Headers: cfg.Headers, Log: cfg.Log,
		Scope: cfg.Scope, OnStart: func(workspace string) { s.usage.add(workspace, time.Now()) }})
	s.feed = feed.New(feed.Config{Role: settings.RoleEntry, Host: cfg.Site.Host, Incarnation: uint64(time.Now().UnixNano()),
		Client: cfg.Client, Log: cfg.Log, Report: s.report, Changed: s.learned}, cfg.Site.ControlAddrs())
	s.batches = &batches{client: cfg.Client, log: cfg.Log, state: s.feed.State}
	return s
}

// Run keeps the copy of the configuration until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { s.feed.Run(ctx); return nil })
	g.Go(func() error { s.closeIdle(ctx); return nil })
	return g.Wait()
}

func (s *Server) closeIdle(ctx context.Context) {
	tick := time.NewTicker(idlePeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			s.cfg.Servers.CloseIdle()
		}
	}
}

// Reseed takes the seeds of changed settings.
func (s *Server) Reseed(seeds []string) { s.feed.Reseed(seeds) }

// Leave makes the host unready and tells control.
func (s *Server) Leave() {
	s.leaving.Store(true)
	s.feed.ReportNow()
}

// Leaving reports whether the host is shutting down.
func (s *Server) Leaving() bool { return s.leaving.Load() }

// Ready reports whether the balancer may send callers here.
func (s *Server) Ready() bool { return s.feed.State().Table != nil && !s.leaving.Load() }

// State returns what control has decided.
func (s *Server) State() *feed.State { return s.feed.State() }

func (s *Server) learned(st *feed.State) {
	s.table.Update(st.Instances, st.Public.ZonesOut, st.Table, st.EntryHosts)
	if st.Table != nil && st.Roster > 0 {
		s.knownOnce.Do(func() { close(s.known) })
	}
}

// Await waits until a configuration and the servers are known, at most until
// the time given. A process that has just started learns both within a second
// or two: most callers are better served late than told to come again.
func (s *Server) WaitForState(until time.Time) {
	select {
	case <-s.known:
		return
	default:
	}
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-s.known:
	case <-timer.C:
	}
}

func (s *Server) report(q *fleet.Report) {
	q.Host = &fleet.Host{Name: s.cfg.Site.Host, Zone: s.cfg.Site.Zone, Addr: s.cfg.Site.InternalAddr()}
	q.Leaving = s.leaving.Load()
	q.Usage = s.usage.report()
}

// Forward runs a request at a backend server.
func (s *Server) Forward(ctx context.Context, r *forward.Request) *forward.Answer {
	r.Service = r.Route.Choose(rand.Float64())
	return s.forwarder.Do(ctx, r)
}
