// Package control is the control process: a replica of the ledger, and on the
// leader the duties that only one process may carry out.
//
// All control state is owned by the goroutine of the quorum node. Requests run
// on it through Server.do. State of one term of leadership lives in a leadership;
// it is rebuilt from the entry hosts' reports by every new leader.
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
	// scheme and client reach the other control processes.
	scheme string
	client *http.Client
	// changed is closed and replaced whenever waiting requests should look
	// again.
	changed chan struct{}
	orders  *http.Client
	page    http.Handler
	// hello is true if the data folder was empty at the start.
	hello bool
	// cache is the decoded form of the records, or nil.
	cache *decoded
	// typical is the moving average of the time to produce a sample.
	typical time.Duration
	fleet   *fleet.Planner
	// planned and ordered belong to the duty that orders servers.
	planned, ordered time.Time
	// chargeFrom is when this leader may give orders; nil while it does not
	// lead.
	chargeFrom atomic.Pointer[time.Time]
	timing     quorum.Timing
}

// Periods of the fleet's planner.
const (
	fleetScaleDownDelay = 20 * time.Second
	fleetShort          = 10 * time.Second
)

// Options holds what New needs besides the settings.
type Options struct {
	Log   *logrus.Entry
	Scope tally.Scope
	// MetricsHandler serves the metrics.
	MetricsHandler http.Handler
	// Files are the file operations of the data folder.
	Files disk.Files
	// Timing holds the periods of the replicated log.
	Timing quorum.Timing
}

// New opens the data folder and prepares the process. Close releases it.
func New(cfg settings.Control, o Options) (*Server, error) {
	d, saved, err := disk.Open(cfg.DataDir, o.Files)
	if err != nil {
		return nil, err
	}
	s := &Server{cfg: cfg, log: o.Log, scope: o.Scope, disk: d, page: o.MetricsHandler, ledger: ledger.New(),
		changed: make(chan struct{}), timing: o.Timing,
		fleet: fleet.New(cfg.Headroom, fleetScaleDownDelay, fleetShort)}
	persisted, err := replica.DecodeSaved(saved)
	if err != nil {
		d.Close()
		return nil, err
	}
	s.hello = persisted.Hard.Term == 0 && len(persisted.Entries) == 0 && persisted.Snapshot.Index == 0
	if saved.TornBytes > 0 {
		o.Log.WithField("bytes", saved.TornBytes).Warn("removed an unfinished write from the end of the log")
	}
	client, scheme, err := cfg.TLS.Client()
	if err != nil {
		d.Close()
		return nil, err
	}
	s.scheme, s.client = scheme, client
	s.peers = replica.NewTransport(client, scheme, cfg.Listen)
	if err := s.newNode(persisted, o.Timing); err != nil {
		d.Close()
		return nil, err
	}
	s.orders = s.newOrderClient()
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
	srv := &http.Server{Handler: s.handler(), TLSConfig: tlsConfig, ReadHeaderTimeout: 10 * time.Second}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return serve(srv, lis) })
	g.Go(func() error { return s.node.Run(ctx) })
	g.Go(func() error { s.join(ctx); return nil })
	g.Go(func() error { s.maintain(ctx); return nil })
	g.Go(func() error { s.runDuties(ctx); return nil })
	if s.cfg.MetricsAddr != "" {
		g.Go(func() error { return s.servePages(ctx) })
	}
	g.Go(func() error {
		<-ctx.Done()
		return srv.Close()
	})
	return g.Wait()
}

// Close releases the data folder.
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

// servePages serves metrics and health on their own address.
func (s *Server) servePages(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.Handle("/metrics", s.page)
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

// notify lets waiting requests look again. It runs on the control goroutine.
func (s *Server) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) apply(_ uint64, data []byte) any {
	result := s.ledger.Apply(data)
	s.notify()
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
	s.ledger, s.cache = l, nil
	return nil
}

// roleChanged starts or ends a leadership. It runs on the control goroutine, but
// for its first call, which New makes.
func (s *Server) roleChanged(st quorum.Status) {
	s.log.WithFields(logrus.Fields{"role_in_term": st.Role.String(), "term": st.Term, "leader": st.LeaderAddr}).
		Info("role changed")
	s.scope.Gauge("term").Update(float64(st.Term))
	if st.Role != quorum.Leader {
		s.leadership = nil
		s.chargeFrom.Store(nil)
		return
	}
	if s.leadership == nil || s.leadership.term != st.Term {
		now := time.Now()
		s.leadership = newLeadership(st.Term, now, time.Duration(s.cfg.LeaseDuration))
		from := now.Add(s.timing.Lease)
		s.chargeFrom.Store(&from)
	}
}

func (s *Server) persist(r quorum.Ready) error {
	s.scope.Counter("disk_syncs").Inc(1)
	return replica.Persist(s.disk, r)
}

func (s *Server) saveSnapshot(snap quorum.Snapshot) error {
	return replica.SaveSnapshot(s.disk, snap)
}
