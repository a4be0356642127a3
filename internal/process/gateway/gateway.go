package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/plantainbank/plantainbank/internal/connection/admission"
	"github.com/plantainbank/plantainbank/internal/connection/departure"
	"github.com/plantainbank/plantainbank/internal/connection/httpheader"
	"github.com/plantainbank/plantainbank/internal/connection/links"
	"github.com/plantainbank/plantainbank/internal/connection/placement"
	"github.com/plantainbank/plantainbank/internal/connection/ratelimit"
	"github.com/plantainbank/plantainbank/internal/process/feed"
	"github.com/plantainbank/plantainbank/internal/process/grace"
	"github.com/plantainbank/plantainbank/internal/process/permit"
	"github.com/plantainbank/plantainbank/internal/request/forward"
	"github.com/plantainbank/plantainbank/internal/request/origin"
	"github.com/plantainbank/plantainbank/internal/request/quarantine"
	"github.com/plantainbank/plantainbank/pkg/process/settings"
	"github.com/plantainbank/plantainbank/pkg/request/attempt"
	"github.com/plantainbank/plantainbank/service/fleet"
)

const (
	// idleInterval is how often unused connections to backend servers are checked.
	idleInterval = time.Second
	// contactTimeout is how long after the control leader's last answer the host counts as
	// in contact with it. The leader answers every 0.8 s.
	contactTimeout = 2 * time.Second
	// maxQuarantineRecords bounds the requests under which servers ended that the host knows
	// of.
	maxQuarantineRecords = 256
)

// Config holds the settings and dependencies of a Server.
type Config struct {
	Site   settings.Site
	Log    *logrus.Entry
	Scope  tally.Scope
	Client *http.Client
	// Servers calls backend servers. New makes it tell of connections that open slowly.
	Servers *attempt.Client
	// DialSentinel opens a connection to a backend server whose end is noticed soon.
	DialSentinel func(ctx context.Context, addr string) (net.Conn, error)
	// Relays calls other entry hosts.
	Relays  *attempt.Client
	Headers httpheader.Names
}

// Server is an entry process.
type Server struct {
	cfg       Config
	log       *logrus.Entry
	feed      *feed.Feed
	table     *placement.Table
	forwarder *forward.Forwarder
	usage     *usage
	// links knows whether this host has lost its links to all servers. gate admits the requests of
	// hosts that have.
	links *links.Monitor
	gate  *links.Gate
	// relayTurn counts the calls of relayHosts.
	relayTurn atomic.Uint32
	// admission refuses plain calls whose services are under pressure; nil if the settings do not ask
	// for it.
	admission *admission.Host
	// quarantine holds the requests under which servers ended.
	quarantine *quarantine.Table
	// unreported is true while the next report will have a change of the quarantine.
	unreported atomic.Bool
	stores     *storeClient
	ends       *endSender
	permits    *permit.Client
	// origins holds where streams of callers have begun at this host.
	origins      *origin.Table
	originClient *origin.Client
	// toldTerm is the term of the control leader that was told of origins. It belongs to the feed's
	// goroutine.
	toldTerm uint64
	// period is nil until the host is told to stop. work ends shortly before its end: what then runs
	// for callers is canceled by stopWork, so that it gets an answer.
	period   atomic.Pointer[grace.Period]
	work     context.Context
	stopWork context.CancelCauseFunc
	// stateKnown is closed once a configuration and the roster are known.
	stateKnown     chan struct{}
	stateKnownOnce sync.Once
}

// New returns an entry process that is not running yet.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg, log: cfg.Log, table: placement.NewTable(), usage: newUsage(cfg.Site.Bounds.Window.Duration()),
		quarantine: quarantine.NewTable(maxQuarantineRecords), origins: origin.NewTable(maxStreamRecords), stateKnown: make(chan struct{}), gate: links.NewGate()}
	s.work, s.stopWork = context.WithCancelCause(context.Background())
	s.table.Zone = cfg.Site.Zone
	s.table.Connected = cfg.Servers.Idle
	if cfg.Site.Plain.Share {
		s.admission = admission.NewHost(admission.HostConfig{Log: cfg.Log, Scope: cfg.Scope})
	}
	guard := quarantine.NewGuard(quarantine.GuardConfig{Table: s.quarantine, Log: cfg.Log, Scope: cfg.Scope,
		Contact: s.hasContact, ReportNow: s.reportQuarantine})
	s.links = links.New(links.Config{Servers: s.backendServers, Dial: cfg.Servers.Dial, DialSentinel: cfg.DialSentinel, Changed: s.linksChanged, Log: cfg.Log, Scope: cfg.Scope})
	cfg.Servers.Dial = s.links.Dial
	s.forwarder = forward.New(forward.Config{Links: s.links, Relays: forward.Relays{Client: cfg.Relays, Hosts: s.relayHosts}, Table: s.table, Client: cfg.Servers, Headers: cfg.Headers, Log: cfg.Log,
		Scope: cfg.Scope, Guard: guard, Admission: s.admission, Copies: admission.NewCopies(cfg.Site.Plain.Copies, rand.Float64()), Limits: ratelimit.NewReader(ratelimit.ReaderConfig{Book: s.table.Limits,
			Header: cfg.Headers.RateLimit, Log: cfg.Log, Scope: cfg.Scope}),
		Departures: departure.NewReader(departure.ReaderConfig{Set: s.table.Departures, Header: cfg.Headers.Leaving,
			Report: func(x departure.Incarnation) { s.feed.ReportLeaving(x) }, Log: cfg.Log, Scope: cfg.Scope}),
		OnStream: s.streamBegan,
		OnStart:  func(workspace string) { s.usage.add(workspace, time.Now()) }})
	s.feed = feed.New(feed.Config{Role: settings.RoleEntry, Host: cfg.Site.Host, Incarnation: uint64(time.Now().UnixNano()),
		Client: cfg.Client, Log: cfg.Log, Report: s.fillReport, Changed: s.applyUpdate,
		Quarantine: func(cases []*fleet.Case) { s.quarantine.Merge(cases, time.Now()) },
		Pressures:  func(all []*fleet.Pressure) { s.admission.Apply(all, time.Now()) },
		Limits:     func(limits []*fleet.Limit) { permit.LogChanges(cfg.Log, s.table.Limits.Merge(limits, time.Now())) }}, cfg.Site.ControlAddrs())
	s.permits = permit.New(permit.Config{Host: cfg.Site.Host, Book: s.table.Limits, Client: cfg.Client, Leader: s.feed.Leader,
		Log: cfg.Log, Scope: cfg.Scope})
	s.originClient = origin.New(origin.Config{Table: s.origins, Client: cfg.Client, Leader: s.feed.Leader, Log: cfg.Log, Scope: cfg.Scope})
	s.stores = &storeClient{client: cfg.Client, log: cfg.Log, state: s.feed.State}
	s.ends = newEndSender(s.stores, cfg.Log, cfg.Scope)
	return s
}

// Run keeps the copy of the control state up to date until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { s.feed.Run(ctx); return nil })
	g.Go(func() error { s.closeIdle(ctx); return nil })
	g.Go(func() error { s.links.Run(ctx); return nil })
	g.Go(func() error { s.ends.run(ctx); return nil })
	g.Go(func() error { s.permits.Run(ctx); return nil })
	g.Go(func() error { s.originClient.Run(ctx); return nil })
	return g.Wait()
}

func (s *Server) closeIdle(ctx context.Context) {
	tick := time.NewTicker(idleInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			s.cfg.Servers.CloseIdle()
			s.cfg.Relays.CloseIdle()
		}
	}
}

// SetSeeds replaces the seed addresses after the settings have changed.
func (s *Server) SetSeeds(seeds []string) { s.feed.SetSeeds(seeds) }

// errStopping is the cancellation cause of what still runs when the host ends.
var errStopping = errors.New("this host is stopping")

// Leave makes the host unready and reports that to the control leader. From now on requests are
// admitted only as the grace period allows.
func (s *Server) Leave(p *grace.Period) {
	s.period.Store(p)
	s.feed.ReportNow()
	time.AfterFunc(time.Until(p.LastAnswer()), func() { s.stopWork(errStopping) })
}

// Work returns the context of the calls of callers. It ends when the host is about to exit.
func (s *Server) Work() context.Context { return s.work }

// AwaitEnds waits until the ends of batches that callers have asked for are delivered, or ctx
// ends.
func (s *Server) AwaitEnds(ctx context.Context) { s.ends.await(ctx) }

// Leaving reports whether the host is shutting down.
func (s *Server) Leaving() bool { return s.period.Load() != nil }

// Ready reports whether the load balancer may send requests to this host.
func (s *Server) Ready() bool { return s.feed.State().Table != nil && !s.Leaving() }

// State returns the current copy of the control state.
func (s *Server) State() *feed.State { return s.feed.State() }

func (s *Server) applyUpdate(st *feed.State) {
	s.table.Update(st.Instances, st.Public.ZonesOut, st.Table, st.EntryHosts)
	s.table.Limits.SetTurn(st.Rank, st.EntryHosts+1) // the leader of the store group is one more host
	s.tellNewLeader(st)
	if st.Table != nil && st.Roster > 0 {
		s.stateKnownOnce.Do(func() { close(s.stateKnown) })
	}
}

// WaitForState waits until a configuration and the roster are known, at most until the
// time given. A process that has just started learns both within 1 s to 2 s: for most
// callers a late response is better than a request to retry.
func (s *Server) WaitForState(until time.Time) {
	select {
	case <-s.stateKnown:
		return
	default:
	}
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-s.stateKnown:
	case <-timer.C:
	}
}

func (s *Server) fillReport(q *fleet.Report) {
	q.Host = &fleet.Host{Name: s.cfg.Site.Host, Zone: s.cfg.Site.Zone, Addr: s.cfg.Site.InternalAddr()}
	q.Leaving, q.Unlinked = s.Leaving(), s.links.Lost()
	q.Usage = s.usage.report()
	s.unreported.Store(false)
	now := time.Now()
	s.quarantine.Expire(now)
	q.Cases = s.quarantine.Reported(now)
	q.LeavingServers = feed.LeavingServers(s.table.Departures)
	q.Plain = s.admission.Report(now)
}

// reportQuarantine reports a change of the quarantine at once. Changes until the report is
// made are reported with it: a server that ends does so under many requests.
func (s *Server) reportQuarantine() {
	if s.unreported.CompareAndSwap(false, true) {
		s.feed.ReportNow()
	}
}

// hasContact reports whether the control leader has answered recently.
func (s *Server) hasContact() bool { return time.Since(s.feed.State().LastContact) < contactTimeout }

// stoppingRetry is the Retry-After of requests that a host refuses since it stops. Another host can
// serve them at once.
const stoppingRetry = 10 * time.Millisecond

// Forward sends a request to a backend server, unless this host stops before it must have ended.
func (s *Server) Forward(ctx context.Context, r *forward.Request) *forward.Response {
	if !s.period.Load().Admits(r.Deadline, time.Now()) {
		s.cfg.Scope.Counter("refused_stopping").Inc(1)
		s.log.WithFields(logrus.Fields{"request": r.ID, "route": r.Route.Name, "left_ms": time.Until(r.Deadline).Milliseconds()}).
			Info("request refused, this host stops before it must have ended")
		return &forward.Response{Status: http.StatusServiceUnavailable, RetryAfter: stoppingRetry, Reason: errStopping.Error()}
	}
	if refused := s.takeUp(ctx, r); refused != nil {
		return refused
	}
	if r.Software == nil {
		r.Service = r.Route.Choose(rand.Float64())
	}
	return s.forwarder.Do(ctx, r)
}
