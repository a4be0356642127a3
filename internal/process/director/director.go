package director

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/twitchtv/twirp"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/plantainbank/plantainbank/internal/process/catalog"
	"github.com/plantainbank/plantainbank/internal/process/feed"
	"github.com/plantainbank/plantainbank/internal/process/roster"
	"github.com/plantainbank/plantainbank/internal/process/weights"
	"github.com/plantainbank/plantainbank/internal/request/quarantine"
	"github.com/plantainbank/plantainbank/pkg/process/clock"
	"github.com/plantainbank/plantainbank/pkg/process/disk"
	"github.com/plantainbank/plantainbank/pkg/process/quorum"
	"github.com/plantainbank/plantainbank/pkg/process/replica"
	"github.com/plantainbank/plantainbank/pkg/process/settings"
	"github.com/plantainbank/plantainbank/service/fleet"
	"github.com/plantainbank/plantainbank/service/peer"
)

// NotLeaderError reports that this process does not lead, and names the leader to ask
// instead.
type NotLeaderError struct {
	// Addr is the address at which the leader serves the other processes of the site,
	// empty if unknown.
	Addr string
}

func (e *NotLeaderError) Error() string { return "not the leader, the leader is " + e.Addr }

// FencingToken accompanies every call that a leader task makes.
type FencingToken struct {
	// Holder is the host that holds the leadership.
	Holder string
	// Token never decreases from one holder to the next.
	Token uint64
}

// WeightOrder directs an engine to load weights once the requests that run there have
// ended.
type WeightOrder struct {
	weights.Order
	FencingToken
	// Seq is a precondition: the number of orders that the engine must have accepted so
	// far.
	Seq uint64
	// WaitForRuns makes the engine load after its runs have ended; until then it refuses
	// requests of the model. Without it, the runs continue under the new version.
	WaitForRuns bool
}

// ExternalCalls are the calls to backend servers and to the platform.
type ExternalCalls struct {
	// Order sends an order to an engine.
	Order func(ctx context.Context, o WeightOrder) weights.Outcome
	// AcceptedOrders asks an engine how many orders it has accepted.
	AcceptedOrders func(ctx context.Context, x roster.Instance) (uint64, error)
	// ReportUsage reports the usage of a window. A *FencedError means that a later holder
	// has already called.
	ReportUsage func(ctx context.Context, token FencingToken, window uint64, counts map[string]uint64) error
}

// FencedError reports a call that was rejected for an outdated fencing token.
type FencedError struct{ FencingToken }

func (e *FencedError) Error() string {
	return fmt.Sprintf("fencing token %d of %q is outdated: a later holder has called", e.Token, e.Holder)
}

// leaderlessTime is how long after its replica has lost the leader a process names none. A replica that
// knows none for longer may have been removed from the group while its disk was full, or while it was cut
// off; then it hears of no election.
const leaderlessTime = 2 * time.Second

// Config holds the settings and dependencies of a Server.
type Config struct {
	Site     settings.Site
	Log      *logrus.Entry
	Scope    tally.Scope
	Files    disk.Files
	Timing   quorum.Timing
	Client   *http.Client
	External ExternalCalls
}

// Server is a control process.
type Server struct {
	cfg        Config
	log        *logrus.Entry
	replica    *replica.Replica
	feed       *feed.Feed
	catalog    *catalog.Catalog
	leadership *leadership
	// quarantine holds the requests under which servers ended. It outlives a leadership; other
	// processes that lead send their copy.
	quarantine *quarantine.Table
	// copies holds encoded full copies of the catalog and the roster.
	copies copyCache
	// settled holds the catalog at settledIndex, with entries of the log that were not applied when it was
	// needed. It belongs to the control goroutine.
	settled      *catalog.Catalog
	settledIndex uint64
	// withheld is true once a host got no state since this disk may lack entries.
	withheld atomic.Bool
	// started is the start time of the process.
	started time.Time
	// leaderless is since when the replica knows no leader, in Unix nanoseconds.
	leaderless atomic.Int64
	// changed is closed and replaced to make waiting calls check the state again.
	changed chan struct{}
}

// New opens the data directory. Close releases it.
func New(cfg Config) (*Server, error) {
	s := &Server{cfg: cfg, log: cfg.Log, catalog: catalog.New(), quarantine: quarantine.NewTable(maxQuarantineRecords),
		started: time.Now(), changed: make(chan struct{})}
	r, err := replica.New(replica.Config{
		Dir: cfg.Site.DataDir, Self: cfg.Site.InternalAddr(), Replicas: cfg.Site.Replicas(), Files: cfg.Files, Timing: cfg.Timing,
		Client: cfg.Client, Log: cfg.Log, Scope: cfg.Scope,
		Apply:   s.apply,
		Save:    func() []byte { return s.catalog.Save() },
		Restore: s.restore,
		Freeze:  s.freeze,
		Changed: s.roleChanged,
		Survey:  true,
		Hosts:   s.controlHosts,
	})
	if err != nil {
		return nil, err
	}
	s.replica = r
	s.feed = feed.New(feed.Config{Role: settings.RoleControl, Host: cfg.Site.Host, Incarnation: uint64(time.Now().UnixNano()),
		Client: cfg.Client, Log: cfg.Log, Self: cfg.Site.InternalAddr(), Report: s.fillReport, Changed: func(*feed.State) {},
		Quarantine: func(cases []*fleet.Case) { s.quarantine.Merge(cases, time.Now()) }}, cfg.Site.ControlAddrs())
	return s, nil
}

// Close releases the data directory.
func (s *Server) Close() error { return s.replica.Close() }

// Handler serves calls from the other processes of the site.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	p := peer.NewPeerServer(s.replica.Service())
	mux.Handle(p.PathPrefix(), p)
	d := fleet.NewDirectorServer(s)
	mux.Handle(d.PathPrefix(), d)
	return mux
}

// SetSeeds replaces the seed addresses after the settings have changed.
func (s *Server) SetSeeds(seeds []string) { s.feed.SetSeeds(seeds) }

// Leave hands the vote of this process over to another host before it stops, while Run still serves. ctx bounds
// the wait.
func (s *Server) Leave(ctx context.Context) { s.replica.Leave(ctx) }

// Run serves until ctx ends or the disk fails.
func (s *Server) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return s.replica.Run(ctx) })
	g.Go(func() error { s.bootstrap(ctx); return nil })
	g.Go(func() error { s.followLeader(ctx); return nil })
	g.Go(func() error { s.runTasks(ctx); return nil })
	return g.Wait()
}

// Leader returns the address at which the leader serves the other processes of the site;
// self is true if this process leads with a valid lease.
func (s *Server) Leader() (addr string, self bool) {
	node := s.replica.Node()
	if _, _, ok := node.HoldsLease(); ok {
		return s.cfg.Site.InternalAddr(), true
	}
	if st := node.Status(); s.replica.Voter() && (st.Leader != 0 || s.leaderlessFor() < leaderlessTime) {
		addr = st.LeaderAddr
	} else {
		addr = s.feed.ConfirmedLeader()
	}
	if addr == s.cfg.Site.InternalAddr() {
		return "", false
	}
	return addr, false
}

func (s *Server) do(ctx context.Context, f func()) error { return s.replica.Node().Do(ctx, f) }

// onLeader runs f on the control goroutine if this process leads.
func (s *Server) onLeader(ctx context.Context, f func(l *leadership) error) error {
	var inner error
	called := time.Now()
	err := s.do(ctx, func() {
		s.cfg.Scope.Timer("control_wait").Record(time.Since(called))
		addr, self := s.Leader()
		if !self || s.leadership == nil {
			inner = &NotLeaderError{Addr: addr}
			return
		}
		for id, err := range s.leadership.loadRoster(s.catalog.Instances, s.catalog.Software) {
			s.log.WithError(err).WithField("instance", id).Warn("stored instance dropped")
		}
		inner = f(s.leadership)
	})
	if err != nil {
		return err
	}
	return inner
}

// propose commits a command. A *NotLeaderError means that the command was definitely not
// proposed.
func (s *Server) propose(ctx context.Context, c *catalog.Command) error {
	if addr, self := s.Leader(); !self {
		return &NotLeaderError{Addr: addr}
	}
	_, err := s.replica.Node().Propose(ctx, c.Encode())
	var notLeader *quorum.NotLeaderError
	if errors.As(err, &notLeader) {
		return &NotLeaderError{Addr: notLeader.Addr}
	}
	return err
}

// apply applies a committed command to the catalog. It runs on the control goroutine.
func (s *Server) apply(index uint64, data []byte) any {
	changed, err := s.catalog.Apply(index, data)
	if err != nil {
		s.log.WithError(err).Error("cannot decode a replicated command")
	}
	if changed {
		s.catalogChanged(time.Now())
		s.notify()
	}
	return changed
}

// freeze encodes the catalog at once, since it is small, and returns a function that
// writes it later.
func (s *Server) freeze() func(io.Writer) error {
	data := s.catalog.Save()
	return func(w io.Writer) error {
		_, err := w.Write(data)
		return err
	}
}

func (s *Server) restore(r io.Reader) error {
	data, err := io.ReadAll(r)
	if err != nil {
		return err
	}
	c, err := catalog.Restore(data)
	if err != nil {
		return err
	}
	s.catalog = c
	return nil
}

// notify makes waiting calls check the state again. It runs on the control goroutine.
func (s *Server) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// roleChanged starts or ends a leadership. It runs on the control goroutine, except for
// its first call, which New makes.
func (s *Server) roleChanged(st quorum.Status) {
	s.cfg.Scope.Gauge("term").Update(float64(st.Term))
	if st.Leader == 0 {
		s.leaderless.Store(time.Now().UnixNano())
	}
	if st.Role != quorum.Leader {
		s.leadership = nil
		return
	}
	if s.leadership == nil || s.leadership.term != st.Term {
		s.leadership = newLeadership(st.Term, time.Now())
		if s.feed != nil {
			s.leadership.roster.Load(byOwnClock(s.feed.State().Instances, time.Now(), clock.Steady()), time.Now())
		}
	}
}

// byOwnClock returns instances that say by this process's steady clock until when they are cold, in place of that of
// the leader that has sent them. steady is the value of the clock at now.
func byOwnClock(all []roster.Instance, now, steady time.Time) []roster.Instance {
	out := slices.Clone(all)
	for i := range out {
		if x := &out[i]; !x.Cold.IsZero() {
			x.ColdUntil, x.Cold = steady.Add(x.Cold.Sub(now)).UnixMilli(), time.Time{}
		}
	}
	return out
}

// toTwirpError converts an error to a Twirp error.
func toTwirpError(err error) error {
	var notLeader *NotLeaderError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &notLeader):
		return twirp.NewError(twirp.FailedPrecondition, "not the leader").WithMeta(feed.LeaderMeta, notLeader.Addr)
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		return twirp.NewError(twirp.DeadlineExceeded, err.Error())
	}
	return twirp.NewError(twirp.Unavailable, err.Error())
}
