// Package entry is the entry process: it serves callers, trainers, operators
// and backend servers, and routes by a leased copy of the configuration.
package entry

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/plantainbank/plantainbank/pkg/connection/announce"
	"github.com/plantainbank/plantainbank/pkg/connection/backendserver"
	"github.com/plantainbank/plantainbank/pkg/connection/caller"
	"github.com/plantainbank/plantainbank/pkg/connection/operator"
	"github.com/plantainbank/plantainbank/pkg/connection/socket"
	"github.com/plantainbank/plantainbank/pkg/process/grant"
	"github.com/plantainbank/plantainbank/pkg/process/leader"
	"github.com/plantainbank/plantainbank/pkg/process/metrics"
	"github.com/plantainbank/plantainbank/pkg/process/settings"
	"github.com/plantainbank/plantainbank/pkg/process/trace"
	"github.com/plantainbank/plantainbank/pkg/request/attempt"
	"github.com/plantainbank/plantainbank/pkg/request/dispatch"
	"github.com/plantainbank/plantainbank/pkg/request/sample"
	"github.com/plantainbank/plantainbank/pkg/version/view"
)

// Periods of an entry process.
const (
	// noticePause lets the balancer see that the host is not ready before its
	// listeners close.
	noticePause = 500 * time.Millisecond
	idlePeriod  = time.Second
)

// Server is an entry process.
type Server struct {
	cfg        settings.Entry
	log        *logrus.Entry
	scope      tally.Scope
	table      *backendserver.Table
	dispatcher *dispatch.Dispatcher
	keeper     *grant.Renewer
	worker     *sample.Worker
	client     *attempt.Client
	callers    *caller.Handler
	operators  *operator.Handler
	backends   *announce.Handler
	leaving    atomic.Bool
}

// New prepares the process.
func New(cfg settings.Entry, log *logrus.Entry, m *metrics.Metrics, tracer *trace.Tracer) (*Server, error) {
	client, scheme, err := cfg.TLS.Client()
	if err != nil {
		return nil, err
	}
	s := &Server{cfg: cfg, log: log, scope: m.Scope, client: attempt.NewClient()}
	lead := leader.New(cfg.ControlAddrs, client, scheme)
	s.table = backendserver.New(backendserver.Policy{Choice: cfg.Policy.Choice, Affinity: cfg.Policy.Affinity,
		Unshared: cfg.Policy.IgnoreShares, Fixed: cfg.Policy.FixedLimit}, backendserver.Seed())
	usage := dispatch.NewUsage()
	s.dispatcher = dispatch.New(dispatch.Config{Policy: cfg.Policy, Limits: cfg.Limits, Table: s.table, Client: s.client,
		Usage: usage, Scope: m.Scope, Tracer: tracer, RequestShares: func() { s.keeper.RenewSoon() }})
	s.keeper = grant.New(grant.Config{Host: cfg.Host, Zone: cfg.Zone, Incarnation: uint64(time.Now().UnixNano()),
		Wait: time.Duration(cfg.RenewInterval), Leader: lead, Table: s.table, Log: log, Usage: usage.Counters,
		Demand: s.dispatcher.Demand, Load: s.dispatcher.Load, Changed: s.changed})
	s.worker = sample.New(sample.Config{Host: cfg.Host, MaxClaims: cfg.Workers, Leader: lead, Dispatcher: s.dispatcher,
		Table: s.table, View: s.keeper.View, Scope: m.Scope})
	s.callers = caller.New(caller.Config{Limits: cfg.Limits, Dispatcher: s.dispatcher, Leader: lead, View: s.keeper.View,
		Scope: m.Scope, Tracer: tracer, Ready: s.ready, Sizes: s.table.Size})
	s.operators = operator.New(operator.Config{Token: cfg.OperatorTokenHash, Leader: lead, Page: m.Handler, Ready: s.ready})
	s.backends = announce.New(announce.Config{Token: cfg.AnnounceTokenHash, Take: s.keeper.Announce})
	return s, nil
}

// ready reports whether the balancer may send requests to this host.
func (s *Server) ready() bool {
	_, held := s.keeper.View()
	return held && !s.leaving.Load()
}

// changed puts a version in force, or stops work when the lease has ended.
func (s *Server) changed(v *view.View, held bool) {
	if held {
		s.dispatcher.Start()
	} else {
		s.dispatcher.Stop()
	}
	s.callers.Changed(v, held)
}

// Run serves until ctx ends, then shuts down gracefully: it gives up its
// shares, ends what runs and closes.
func (s *Server) Run(ctx context.Context) error {
	servers, err := s.listen()
	if err != nil {
		return err
	}
	work, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	g := &errgroup.Group{}
	for _, x := range servers {
		g.Go(x.serve)
	}
	g.Go(func() error { s.keeper.Run(work); return nil })
	g.Go(func() error { s.closeIdle(work); return nil })
	g.Go(func() error {
		s.worker.Run(ctx, work)
		return nil
	})
	g.Go(func() error {
		<-ctx.Done()
		s.shutdown(servers)
		stopWork()
		return nil
	})
	return g.Wait()
}

// shutdown keeps the lease until the last request has ended.
func (s *Server) shutdown(servers []*listener) {
	s.log.Info("shutting down")
	s.leaving.Store(true)
	time.Sleep(noticePause)
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(s.cfg.Limits.DrainTimeout))
	defer cancel()
	for _, x := range servers {
		if err := x.server.ShutdownWithContext(ctx); err != nil {
			s.log.WithError(err).WithField("addr", x.addr).Warn("requests were still running at the drain limit")
		}
	}
	for len(s.dispatcher.Demand()) > 0 && ctx.Err() == nil {
		time.Sleep(watchPause)
	}
	s.keeper.Leave()
	time.Sleep(time.Duration(s.cfg.RenewInterval)) // until the leader has heard it
}

// watchPause is the period at which a shutdown looks for running work.
const watchPause = 20 * time.Millisecond

func (s *Server) closeIdle(ctx context.Context) {
	tick := time.NewTicker(idlePeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			s.client.CloseIdle()
		}
	}
}

// listener is one bound address with its server.
type listener struct {
	addr   string
	lis    net.Listener
	server *fasthttp.Server
}

func (l *listener) serve() error {
	err := l.server.Serve(l.lis)
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// listen binds all addresses before any of them serves.
func (s *Server) listen() ([]*listener, error) {
	callerTLS, err := s.cfg.CallerTLS.Server()
	if err != nil {
		return nil, err
	}
	var out []*listener
	for _, x := range []struct {
		addr    string
		handler fasthttp.RequestHandler
		tls     *tls.Config
	}{{s.cfg.CallerAddr, s.callers.Serve, callerTLS}, {s.cfg.OperatorAddr, s.operators.Serve, callerTLS}, {s.cfg.BackendAddr, s.backends.Serve, nil}} {
		tcp, err := socket.Listen(context.Background(), x.addr, time.Duration(s.cfg.Limits.WriteTimeout))
		if err != nil {
			for _, l := range out {
				l.lis.Close()
			}
			return nil, err
		}
		var lis net.Listener = tcp
		if x.tls != nil {
			lis = tls.NewListener(lis, x.tls)
		}
		out = append(out, &listener{x.addr, lis, s.newServer(x.handler)})
	}
	return out, nil
}

func (s *Server) newServer(h fasthttp.RequestHandler) *fasthttp.Server {
	l := s.cfg.Limits
	return &fasthttp.Server{
		Handler:               s.closing(h),
		Name:                  "plantainbank",
		MaxRequestBodySize:    l.MaxBodyBytes,
		ReadBufferSize:        l.MaxHeaderBytes,
		Concurrency:           l.MaxConnections,
		IdleTimeout:           time.Duration(l.IdleTimeout),
		ReadTimeout:           time.Duration(l.ReadTimeout),
		CloseOnShutdown:       true,
		NoDefaultContentType:  true,
		NoDefaultServerHeader: true,
		Logger:                &connectionErrors{s.scope.Counter("connection_errors")},
	}
}

// closing ends kept-alive connections with their next answer once the host is
// leaving, so that few callers meet a connection that closes under them.
func (s *Server) closing(h fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		h(ctx)
		if s.leaving.Load() {
			ctx.SetConnectionClose()
		}
	}
}

// connectionErrors counts what the HTTP library would log. Its messages quote
// requests, so they could hold a key.
type connectionErrors struct{ counter tally.Counter }

// Printf counts one error and drops its text.
func (c *connectionErrors) Printf(string, ...any) { c.counter.Inc(1) }
