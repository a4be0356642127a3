// Package control implements the control process: a replica of the ledger that, while it
// leads, also runs the tasks that only one process may run.
//
// The goroutine of the quorum node, called the control goroutine, owns all control state.
// RPC handlers run functions on it with Server.do. The type leadership contains the state
// of a leader in one term; every new leader rebuilds it from the reports of the entry
// hosts.
package control

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/plantainbank/plantainbank/internal/connection/bodies"
	"github.com/plantainbank/plantainbank/internal/connection/bodylimit"
	"github.com/plantainbank/plantainbank/pkg/process/disk"
	"github.com/plantainbank/plantainbank/pkg/process/fleet"
	"github.com/plantainbank/plantainbank/pkg/process/ledger"
	"github.com/plantainbank/plantainbank/pkg/process/quorum"
	"github.com/plantainbank/plantainbank/pkg/process/replica"
	"github.com/plantainbank/plantainbank/pkg/process/settings"
	pb "github.com/plantainbank/plantainbank/service/control"
	"github.com/plantainbank/plantainbank/service/peer"
)

// Server is a control process.
type Server struct {
	cfg        settings.Control
	log        *logrus.Entry
	scope      tally.Scope
	disk       *disk.Disk
	node       *quorum.Node
	ledger     *ledger.Ledger
	leadership *leadership
	peers      *replica.Transport
	// scheme and client are used to call the other control processes.
	scheme string
	client *http.Client
	// changed is closed and replaced when waiting requests must check their condition
	// again.
	changed        chan struct{}
	orderClient    *http.Client
	metricsHandler http.Handler
	// startedEmpty is true if the data directory was empty at startup.
	startedEmpty bool
	// recordCache contains the decoded records, or nil.
	recordCache *decodedRecords
	// avgSampleTime is the moving average of the time that it takes to produce a sample.
	avgSampleTime time.Duration
	fleet         *fleet.Planner
	// lastPlan and lastOrders are the times at which orders were last planned and sent.
	// Only the leader task orderServers uses them.
	lastPlan, lastOrders time.Time
	// leaderTasksFrom is the time from which this leader may run leader tasks; nil while
	// this process does not lead.
	leaderTasksFrom atomic.Pointer[time.Time]
	timing          quorum.Timing
}

// Delays of the fleet planner.
const (
	fleetScaleDownDelay   = 20 * time.Second
	fleetShortageCooldown = 10 * time.Second
)

// Timeouts of the bodies of calls: bodyStall without any progress, bodyTimeout for the whole.
const (
	bodyStall   = 10 * time.Second
	bodyTimeout = 20 * time.Second
)

// Options contains what New needs besides the settings.
type Options struct {
	Log   *logrus.Entry
	Scope tally.Scope
	// MetricsHandler serves the path /metrics.
	MetricsHandler http.Handler
	// Files contains the file operations for the data directory.
	Files disk.Files
	// Timing contains the timeouts of the replicated log.
	Timing quorum.Timing
}

// New opens the data directory and prepares the process. Close releases the directory.
func New(cfg settings.Control, o Options) (*Server, error) {
	d, saved, err := disk.Open(cfg.DataDir, o.Files)
	if err != nil {
		return nil, err
	}
	s := &Server{cfg: cfg, log: o.Log, scope: o.Scope, disk: d, metricsHandler: o.MetricsHandler, ledger: ledger.New(),
		changed: make(chan struct{}), timing: o.Timing,
		fleet: fleet.New(cfg.Headroom, fleetScaleDownDelay, fleetShortageCooldown)}
	persisted, err := replica.DecodeSaved(saved)
	if err != nil {
		d.Close()
		return nil, err
	}
	s.startedEmpty = persisted.Hard.Term == 0 && len(persisted.Entries) == 0 && persisted.Snapshot.Index == 0
	if saved.TornBytes > 0 {
		o.Log.WithField("bytes", saved.TornBytes).Warn("removed an unfinished write from the end of the log")
	}
	client, scheme, err := cfg.TLS.Client()
	if err != nil {
		d.Close()
		return nil, err
	}
	s.scheme, s.client = scheme, client
	s.peers = replica.NewTransport(client, scheme, cfg.Listen, o.Timing.Election)
	if err := s.newNode(persisted, o.Timing); err != nil {
		d.Close()
		return nil, err
	}
	s.orderClient = s.newOrderClient()
	return s, nil
}

func (s *Server) newNode(persisted quorum.Persisted, timing quorum.Timing) error {
	node, err := quorum.NewNode(quorum.Config{
		ID:            quorum.NodeID(s.disk.ID()),
		Timing:        timing,
		Seed:          s.disk.ID(),
		Persisted:     persisted,
		Persist:       s.persist,
		Send:          s.send,
		Apply:         s.apply,
		Save:          func() []byte { return s.ledger.Save() },
		Restore:       s.restore,
		SaveSnapshot:  s.saveSnapshot,
		SnapshotEvery: s.cfg.SnapshotEntries,
		Changed:       s.roleChanged,
	})
	s.node = node
	return err
}

// Run serves until ctx ends or the disk fails.
func (s *Server) Run(ctx context.Context) error {
	lis, err := net.Listen("tcp", s.cfg.Listen)
	if err != nil {
		return err
	}
	tlsConfig, err := s.cfg.TLS.Server()
	if err != nil {
		return err
	}
	l := bodylimit.New(bodylimit.Config{Account: bodies.New(int64(s.cfg.FlightBytes)), Stall: bodyStall,
		Total: bodyTimeout, Log: s.log, Scope: s.scope})
	srv := l.HTTPServer(&http.Server{Handler: s.handler(), TLSConfig: tlsConfig, ReadHeaderTimeout: 10 * time.Second}, s.cfg.MaxBodyBytes)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return serve(srv, l.Listener(lis)) })
	g.Go(func() error { return s.node.Run(ctx) })
	g.Go(func() error { s.join(ctx); return nil })
	g.Go(func() error { s.maintain(ctx); return nil })
	g.Go(func() error { s.runLeaderTasks(ctx); return nil })
	if s.cfg.MetricsAddr != "" {
		g.Go(func() error { return s.serveMetrics(ctx) })
	}
	g.Go(func() error {
		<-ctx.Done()
		return srv.Close()
	})
	return g.Wait()
}

// Close releases the data directory.
func (s *Server) Close() error { return s.disk.Close() }

func serve(srv *http.Server, lis net.Listener) error {
	var err error
	if srv.TLSConfig != nil {
		err = srv.ServeTLS(lis, "", "")
	} else {
		err = srv.Serve(lis)
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	p := peer.NewPeerServer(s.peerService())
	mux.Handle(p.PathPrefix(), p)
	c := pb.NewControlServer(s)
	mux.Handle(c.PathPrefix(), c)
	return mux
}

// serveMetrics serves metrics and health checks on an address of their own.
func (s *Server) serveMetrics(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.Handle("/metrics", s.metricsHandler)
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte("ok\n")) })
	mux.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if s.node.Status().Leader == 0 {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	srv := &http.Server{Addr: s.cfg.MetricsAddr, Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	stop := context.AfterFunc(ctx, func() { srv.Close() })
	defer stop()
	err := srv.ListenAndServe()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// do runs f on the control goroutine.
func (s *Server) do(ctx context.Context, f func()) error { return s.node.Do(ctx, f) }

// wakeWaiters makes waiting requests check their condition again. It runs on the control
// goroutine.
func (s *Server) wakeWaiters() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) apply(_ uint64, data []byte) any {
	result := s.ledger.Apply(data)
	s.wakeWaiters()
	return result
}

func (s *Server) restore(r io.Reader) error {
	data, err := io.ReadAll(r)
	if err != nil {
		return err
	}
	l, err := ledger.Restore(data)
	if err != nil {
		return err
	}
	s.ledger, s.recordCache = l, nil
	return nil
}

// roleChanged starts or ends a leadership. It runs on the control goroutine, except for
// its first call, which New makes.
func (s *Server) roleChanged(st quorum.Status) {
	s.log.WithFields(logrus.Fields{"role_in_term": st.Role.String(), "term": st.Term, "leader": st.LeaderAddr}).
		Info("role changed")
	s.scope.Gauge("term").Update(float64(st.Term))
	if st.Role != quorum.Leader {
		s.leadership = nil
		s.leaderTasksFrom.Store(nil)
		return
	}
	if s.leadership == nil || s.leadership.term != st.Term {
		now := time.Now()
		s.leadership = newLeadership(st.Term, now, time.Duration(s.cfg.LeaseDuration))
		from := now.Add(s.timing.Lease)
		s.leaderTasksFrom.Store(&from)
	}
}

func (s *Server) persist(r quorum.Ready) error {
	s.scope.Counter("disk_syncs").Inc(1)
	return replica.Persist(s.disk, r)
}

func (s *Server) saveSnapshot(snap quorum.Snapshot) error {
	return replica.SaveSnapshot(s.disk, snap)
}
