package store

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/twitchtv/twirp"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/singleflight"

	"github.com/plantainbank/plantainbank/internal/connection/bodylimit"
	"github.com/plantainbank/plantainbank/internal/connection/httpheader"
	"github.com/plantainbank/plantainbank/internal/process/feed"
	"github.com/plantainbank/plantainbank/internal/process/permit"
	"github.com/plantainbank/plantainbank/internal/request/batch"
	"github.com/plantainbank/plantainbank/pkg/process/disk"
	"github.com/plantainbank/plantainbank/pkg/process/quorum"
	"github.com/plantainbank/plantainbank/pkg/process/replica"
	"github.com/plantainbank/plantainbank/pkg/process/settings"
	"github.com/plantainbank/plantainbank/pkg/request/attempt"
	"github.com/plantainbank/plantainbank/service/fleet"
	"github.com/plantainbank/plantainbank/service/peer"
)

// Intervals and timeouts of a store process.
const (
	// dropInterval is the interval between searches for expired batches.
	dropInterval = 5 * time.Second
	// dropMargin is added to the time for which results must stay readable.
	dropMargin = 10 * time.Second
	// bootstrapTimeout bounds the bootstrap of the group.
	bootstrapTimeout = 2 * time.Second
)

// Config holds the settings and dependencies of a Server.
type Config struct {
	Site    settings.Site
	Log     *logrus.Entry
	Scope   tally.Scope
	Files   disk.Files
	Timing  quorum.Timing
	Client  *http.Client
	Engines *attempt.Client
	Headers httpheader.Names
}

// Server is a store process.
type Server struct {
	cfg     Config
	log     *logrus.Entry
	replica *replica.Replica
	feed    *feed.Feed
	batches *batch.Store
	driver  *driver
	// submits holds the submissions that are being stored, by batch ID. A call that is repeated meanwhile must
	// not write a large batch to the log once more.
	submits singleflight.Group
	permits *permit.Client
	// changed is closed and replaced when a batch changes, to wake waiting readers.
	changed chan struct{}
}

// New opens the data directory. Close releases it.
func New(cfg Config) (*Server, error) {
	s := &Server{cfg: cfg, log: cfg.Log, batches: batch.NewStore(), changed: make(chan struct{})}
	s.driver = newDriver(s)
	r, err := replica.New(replica.Config{
		Dir: cfg.Site.DataDir, Self: cfg.Site.InternalAddr(), Replicas: cfg.Site.Replicas(), Files: cfg.Files, Timing: cfg.Timing,
		Client: cfg.Client, Log: cfg.Log, Scope: cfg.Scope,
		Apply:   s.apply,
		Save:    func() []byte { return s.batches.Save() },
		Restore: s.restore,
		Freeze:  func() func(io.Writer) error { return s.batches.Freeze() },
		Changed: s.roleChanged,
		Hosts:   s.storeHosts,
	})
	if err != nil {
		return nil, err
	}
	s.replica = r
	s.feed = feed.New(feed.Config{Role: settings.RoleStore, Host: cfg.Site.Host, Incarnation: uint64(time.Now().UnixNano()),
		Client: cfg.Client, Log: cfg.Log, Report: s.fillReport, Changed: s.applyUpdate,
		Limits: func(limits []*fleet.Limit) {
			permit.LogChanges(cfg.Log, s.driver.table.Limits.Merge(limits, time.Now()))
		}, EventTimes: func(all []*fleet.EventTime) { s.driver.setEventTimes(all) }}, cfg.Site.ControlAddrs())
	s.permits = permit.New(permit.Config{Host: cfg.Site.Host, Book: s.driver.table.Limits, Client: cfg.Client, Leader: s.feed.Leader,
		Log: cfg.Log, Scope: cfg.Scope, Granted: s.driver.wakeUp})
	return s, nil
}

// Close releases the data directory.
func (s *Server) Close() error { return s.replica.Close() }

// Handler serves the RPCs of the other processes of the site.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	p := peer.NewPeerServer(s.replica.Service())
	mux.Handle(p.PathPrefix(), p)
	b := fleet.NewBatchesServer(s, twirp.WithServerInterceptors(bodylimit.Interceptor))
	mux.Handle(b.PathPrefix(), b)
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
	g.Go(func() error { s.feed.Run(ctx); return nil })
	g.Go(func() error { s.driver.run(ctx); return nil })
	g.Go(func() error { s.permits.Run(ctx); return nil })
	g.Go(func() error { s.dropExpired(ctx); return nil })
	return g.Wait()
}

// applyUpdate applies an update from control.
func (s *Server) applyUpdate(st *feed.State) {
	s.driver.applyUpdate(st)
	if f := st.Public.InitialVoters; len(f) > 0 && f[0].Disk == s.replica.Disk() && s.replica.Empty() {
		s.bootstrap(st)
	}
}

// bootstrap creates the group with the initial voters that control has named.
func (s *Server) bootstrap(st *feed.State) {
	var members quorum.Members
	for _, f := range st.Public.InitialVoters {
		members = append(members, quorum.Member{ID: quorum.NodeID(f.Disk), Addr: f.Addr})
	}
	ctx, cancel := context.WithTimeout(context.Background(), bootstrapTimeout)
	defer cancel()
	if err := s.replica.Bootstrap(ctx, members); err != nil {
		s.log.WithError(err).Error("could not bootstrap the store group")
	}
}

// storeHosts lists the store hosts for membership planning.
func (s *Server) storeHosts() []replica.Host {
	st := s.feed.State()
	var out []replica.Host
	for _, h := range st.Stores {
		out = append(out, replica.Host{Name: h.Name, Zone: h.Zone, Addr: h.Addr, Disk: h.Disk, LastContact: st.LastContact,
			Leaving: st.Public.Retiring[h.Name]})
	}
	return out
}

// fillReport describes this host in a report to control.
func (s *Server) fillReport(q *fleet.Report) {
	site := &s.cfg.Site
	q.Host = &fleet.Host{Name: site.Host, Zone: site.Zone, Addr: site.InternalAddr(), Disk: s.replica.Disk(), Empty: s.replica.Empty()}
	st := s.replica.Node().Status()
	q.LeavingServers = feed.LeavingServers(s.driver.table.Departures)
	_, _, leads := s.replica.Node().HoldsLease()
	q.Replica = &fleet.Replica{Term: st.Term, Leader: leads}
	if !leads {
		return
	}
	q.Replica.Whole = true
	q.Replica.Least = s.driver.minVersions()
	q.Replica.Work = s.driver.expectedWork(time.Now())
	s.driver.fillEventTimes(q)
	for _, id := range st.Members.Voters() {
		q.Replica.Voters = append(q.Replica.Voters, uint64(id))
		if id != st.ID && st.Match[id] < st.Commit {
			q.Replica.Whole = false
		}
	}
}

// apply applies a committed command. It runs on the control goroutine of the replica.
func (s *Server) apply(_ uint64, data []byte) any {
	e, err := s.batches.Apply(data)
	if err != nil {
		s.log.WithError(err).Error("cannot decode a replicated command")
	}
	s.driver.enqueueChange(e)
	if e != (batch.Effect{}) {
		s.notify()
	}
	return nil
}

// roleChanged wakes the driver, which follows the change of leadership and, as a new
// leader, reports it to control.
func (s *Server) roleChanged(quorum.Status) {
	if s.feed != nil {
		s.driver.wakeUp()
	}
}

func (s *Server) restore(r io.Reader) error {
	b, err := batch.Restore(r)
	if err != nil {
		return err
	}
	s.batches = b
	return nil
}

func (s *Server) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// NotLeaderError is returned by calls that only the leader of the group can serve. Addr is
// the address of the leader, empty if it is unknown.
type NotLeaderError struct{ Addr string }

func (e *NotLeaderError) Error() string {
	return "not the leader of the store group, the leader is " + e.Addr
}

func (s *Server) checkLeader() error {
	if _, _, ok := s.replica.Node().HoldsLease(); ok {
		return nil
	}
	addr := s.replica.Node().Status().LeaderAddr
	if addr == s.cfg.Site.InternalAddr() {
		addr = ""
	}
	return &NotLeaderError{addr}
}

// onLeader runs f on the control goroutine if this process is the leader.
func (s *Server) onLeader(ctx context.Context, f func()) error {
	var inner error
	err := s.replica.Node().Do(ctx, func() {
		if inner = s.checkLeader(); inner == nil {
			f()
		}
	})
	return errors.Join(err, inner)
}

// propose commits a command. A *NotLeaderError or a *batch.EncodeError means that the command was
// definitely not proposed.
func (s *Server) propose(ctx context.Context, c *batch.Command) error {
	if err := s.checkLeader(); err != nil {
		return err
	}
	data, err := c.Encode()
	if err != nil {
		return err
	}
	_, err = s.replica.Node().Propose(ctx, data)
	var notLeader *quorum.NotLeaderError
	if errors.As(err, &notLeader) {
		return &NotLeaderError{notLeader.Addr}
	}
	return err
}

// dropExpired periodically deletes the batches whose retention has ended.
func (s *Server) dropExpired(ctx context.Context) {
	tick := time.NewTicker(dropInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		var ids []string
		err := s.onLeader(ctx, func() {
			ids = s.batches.Expired(time.Now(), s.cfg.Site.Bounds.ResultRetention.Duration()+dropMargin)
		})
		if err != nil || len(ids) == 0 {
			continue // not the leader, or nothing has expired
		}
		if err := s.propose(ctx, &batch.Command{Drop: ids}); err != nil {
			s.log.WithError(err).WithField("batches", len(ids)).Warn("could not drop expired batches")
		}
	}
}
