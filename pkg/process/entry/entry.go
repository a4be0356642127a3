// Package entry implements the entry process. It serves callers, trainers,
// operators and backend servers, and routes requests by a copy of the
// configuration that is valid for the duration of a lease.
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

	"github.com/plantainbank/plantainbank/internal/connection/bodies"
	"github.com/plantainbank/plantainbank/internal/connection/bodylimit"
	"github.com/plantainbank/plantainbank/pkg/connection/announce"
	"github.com/plantainbank/plantainbank/pkg/connection/backendserver"
	"github.com/plantainbank/plantainbank/pkg/connection/caller"
	"github.com/plantainbank/plantainbank/pkg/connection/operator"
	"github.com/plantainbank/plantainbank/pkg/connection/response"
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

// Delays and intervals of an entry process.
const (
	// notReadyDelay gives the load balancer time to notice that the host is not
	// ready before the listeners close.
	notReadyDelay     = 500 * time.Millisecond
	idleCloseInterval = time.Second
)

// Server is an entry process.
type Server struct {
	cfg        settings.Entry
	log        *logrus.Entry
	scope      tally.Scope
	table      *backendserver.Table
	dispatcher *dispatch.Dispatcher
	renewer    *grant.Renewer
	worker     *sample.Worker
	client     *attempt.Client
	callers    *caller.Handler
	operators  *operator.Handler
	backends   *announce.Handler
	bodies     *bodylimit.Limiter
	leaving    atomic.Bool
}

// New returns an entry process. Run starts it.
func New(cfg settings.Entry, log *logrus.Entry, m *metrics.Metrics, tracer *trace.Tracer) (*Server, error) {
	client, scheme, err := cfg.TLS.Client()
	if err != nil {
		return nil, err
	}
	s := &Server{cfg: cfg, log: log, scope: m.Scope, client: attempt.NewClient()}
	s.bodies = bodylimit.New(bodylimit.Config{Account: bodies.New(int64(cfg.Limits.FlightBytes)), MaxBody: cfg.Limits.MaxBodyBytes,
		Stall: time.Duration(cfg.Limits.ReadTimeout), Total: time.Duration(cfg.Limits.ReadTimeout), Refuse: refuseBody, Log: log, Scope: m.Scope})
	leaderClient := leader.New(cfg.ControlAddrs, client, scheme)
	s.table = backendserver.New(backendserver.Policy{Choice: cfg.Policy.Choice, Affinity: cfg.Policy.Affinity,
		IgnoreShares: cfg.Policy.IgnoreShares, FixedLimit: cfg.Policy.FixedLimit}, backendserver.Seed())
	usage := dispatch.NewUsage()
	s.dispatcher = dispatch.New(dispatch.Config{Policy: cfg.Policy, Limits: cfg.Limits, Table: s.table, Client: s.client,
		Usage: usage, Scope: m.Scope, Tracer: tracer, RequestShares: func() { s.renewer.RenewSoon() }})
	s.renewer = grant.New(grant.Config{Host: cfg.Host, Zone: cfg.Zone, Incarnation: uint64(time.Now().UnixNano()),
		Wait: time.Duration(cfg.RenewInterval), Leader: leaderClient, Table: s.table, Log: log, Usage: usage.Counters,
		Demand: s.dispatcher.Demand, Load: s.dispatcher.Load, Changed: s.leaseChanged})
	s.worker = sample.New(sample.Config{Host: cfg.Host, MaxClaims: cfg.Workers, Leader: leaderClient, Dispatcher: s.dispatcher,
		Table: s.table, View: s.renewer.View, Scope: m.Scope})
	s.callers = caller.New(caller.Config{Limits: cfg.Limits, Dispatcher: s.dispatcher, Leader: leaderClient, View: s.renewer.View,
		Scope: m.Scope, Tracer: tracer, Ready: s.ready, PoolSize: s.table.Size})
	s.operators = operator.New(operator.Config{Token: cfg.OperatorTokenHash, Leader: leaderClient, Metrics: m.Handler, Ready: s.ready})
	s.backends = announce.New(announce.Config{Token: cfg.AnnounceTokenHash, OnAnnouncement: s.renewer.Announce})
	return s, nil
}

// ready reports whether the load balancer may send requests to this host.
func (s *Server) ready() bool {
	_, valid := s.renewer.View()
	return valid && !s.leaving.Load()
}

// leaseChanged applies a new version of the configuration, or stops dispatching
// when the lease has expired. valid reports whether the lease is valid.
func (s *Server) leaseChanged(v *view.View, valid bool) {
	if valid {
		s.dispatcher.Start()
	} else {
		s.dispatcher.Stop()
	}
	s.callers.ConfigChanged(v, valid)
}

// Run serves until ctx ends, then shuts down gracefully: it completes the running
// requests, releases its capacity shares and stops.
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
	g.Go(func() error { s.renewer.Run(work); return nil })
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

// shutdown drains the host. The lease is renewed until the last request has ended.
func (s *Server) shutdown(servers []*listener) {
	s.log.Info("shutting down")
	s.leaving.Store(true)
	time.Sleep(notReadyDelay)
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(s.cfg.Limits.DrainTimeout))
	defer cancel()
	for _, x := range servers {
		if err := x.server.ShutdownWithContext(ctx); err != nil {
			s.log.WithError(err).WithField("addr", x.addr).Warn("requests were still running at the drain timeout")
		}
	}
	for len(s.dispatcher.Demand()) > 0 && ctx.Err() == nil {
		time.Sleep(drainPollInterval)
	}
	s.renewer.Leave()
	time.Sleep(time.Duration(s.cfg.RenewInterval)) // wait until a renewal has reported that the host leaves
}

// drainPollInterval is the interval at which a shutdown checks for running
// requests.
const drainPollInterval = 20 * time.Millisecond

func (s *Server) closeIdle(ctx context.Context) {
	tick := time.NewTicker(idleCloseInterval)
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

// listener is a bound address and the server on it.
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

// listen binds all addresses before any of them is served, so that a failure to
// bind one leaves no other in service.
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
		lis := s.bodies.Listener(tcp)
		if x.tls != nil {
			lis = tls.NewListener(lis, x.tls)
		}
		out = append(out, &listener{x.addr, lis, s.newServer(x.handler)})
	}
	return out, nil
}

func (s *Server) newServer(h fasthttp.RequestHandler) *fasthttp.Server {
	l := s.cfg.Limits
	return s.bodies.Server(&fasthttp.Server{
		Handler:               s.closeWhenLeaving(h),
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
	})
}

// refuseBody answers a request whose body was not read to its end.
func refuseBody(ctx *fasthttp.RequestCtx, status int, detail string) {
	e := &response.Error{Status: status, Code: response.CodeInvalid, Message: detail, Ran: attempt.RanNo}
	if status == fasthttp.StatusServiceUnavailable {
		e.Code, e.RetryAfter = response.CodeOverloaded, time.Second
	}
	response.WriteError(ctx, e)
}

// closeWhenLeaving closes keep-alive connections after their next response once the
// host is shutting down, so that few callers send a request on a connection that is
// being closed.
func (s *Server) closeWhenLeaving(h fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		h(ctx)
		if s.leaving.Load() {
			ctx.SetConnectionClose()
		}
	}
}

// connectionErrors is the logger of the HTTP library. It only counts the messages:
// they quote requests and could contain an API key.
type connectionErrors struct{ counter tally.Counter }

// Printf counts one error and discards its text.
func (c *connectionErrors) Printf(string, ...any) { c.counter.Inc(1) }
