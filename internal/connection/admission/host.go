package admission

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/plantainbank/plantainbank/service/fleet"
)

const (
	// shareTTL is how long a host keeps its shares without an answer of the control leader: an
	// election and the search for the new leader take up to 3 s.
	shareTTL = 10 * time.Second
	// minRetry and maxRetry bound Retry-After, retrySpread is the part by which it varies from caller
	// to caller.
	minRetry, maxRetry = 250 * time.Millisecond, 5 * time.Second
	retrySpread        = 0.25
	// leastRetry and mostRetry bound Retry-After before it is varied.
	leastRetry, mostRetry = minRetry * 4 / 3, maxRetry * 4 / 5
	// minRate is the demand of a host, in calls per second, far below which a change of it is chance.
	minRate = 4
	// maxCredit bounds the calls that are admitted one after another when the demand rises.
	maxCredit = 3
	// refusalLogInterval is the minimum time between two log lines about refused calls of a service.
	refusalLogInterval = 10 * time.Second
)

// HostConfig holds the dependencies of a Host.
type HostConfig struct {
	Log   *logrus.Entry
	Scope tally.Scope
	// Random returns a number from 0 to 1.
	Random func() float64
}

// Host counts the calls that an entry host gets and refuses those beyond the shares that the control
// leader has named. A nil Host admits all calls. It is safe for concurrent use.
type Host struct {
	cfg HostConfig
	// started is the time of the first call: before it nothing was counted.
	started  time.Time
	mu       sync.Mutex
	services map[string]*hostService
}

type hostService struct {
	meter meter
	// pressure is nil while the service is not under pressure. It is valid until until.
	pressure *fleet.Pressure
	until    time.Time
	shares   map[Flow]*hostShare
	// reported is the host's own demand in its latest report, in calls per second.
	reported map[Flow]float64
	// refused counts the calls refused since the last log line, at loggedAt.
	refused  int
	loggedAt time.Time
}

// hostShare is the share of a flow at this host.
type hostShare struct {
	Share
	// credit is the number of calls that may be admitted now. Each call adds the admitted fraction, so
	// that the admitted calls are spread evenly.
	credit float64
	// own is this host's part of the demand.
	own float64
}

// NewHost returns a host that knows of no shares.
func NewHost(cfg HostConfig) *Host {
	if cfg.Random == nil {
		cfg.Random = rand.Float64
	}
	return &Host{cfg: cfg, services: map[string]*hostService{}}
}

func (h *Host) service(name string, now time.Time) *hostService {
	s := h.services[name]
	if s == nil {
		if h.started.IsZero() {
			h.started = now
		}
		s = &hostService{meter: meter{started: h.started}}
		h.services[name] = s
	}
	return s
}

func (s *hostService) pressed(now time.Time) bool { return s.pressure != nil && now.Before(s.until) }

// Admit counts a call and decides on it. A call that is not admitted has a Retry-After.
func (h *Host) Admit(service string, f Flow, now time.Time) (retryAfter time.Duration, admitted bool) {
	if h == nil {
		return 0, true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.service(service, now)
	var share *hostShare
	if s.pressed(now) {
		share = s.shares[f]
	}
	if share == nil {
		s.meter.at(now).count(f, false)
		return 0, true
	}
	share.credit = min(maxCredit, share.credit+share.part(s.meter.rate(f, now)))
	if share.credit >= 1 {
		share.credit--
		s.meter.at(now).count(f, false)
		return 0, true
	}
	s.meter.at(now).count(f, true)
	h.cfg.Scope.Counter("plain_refused").Inc(1)
	retryAfter = h.spread(share.drainTime())
	h.logRefusal(service, s, f, retryAfter, now)
	return retryAfter, false
}

// part returns the part of the calls that is admitted, if this host now gets some number of calls per
// second. Refused callers stay away for seconds, so that the demand falls faster than reports tell.
func (x *hostShare) part(rate float64) float64 {
	return x.Rate / x.Demand * (x.own + minRate) / (rate + minRate)
}

// drainTime returns the time in which the calls that one second leaves over are served at the rate of
// the share.
func (x *hostShare) drainTime() time.Duration {
	if x.Rate <= 0 {
		return maxRetry
	}
	return time.Duration(min(maxRetry.Seconds(), x.Demand/x.Rate-1) * float64(time.Second))
}

// spread varies a Retry-After so that callers that were refused together do not return together.
func (h *Host) spread(d time.Duration) time.Duration {
	d = min(max(d, leastRetry), mostRetry)
	return time.Duration(float64(d) * (1 - retrySpread + 2*retrySpread*h.cfg.Random()))
}

// Pressed reports whether a service is under pressure, and the Retry-After of a call that its servers
// have refused.
func (h *Host) Pressed(service string, now time.Time) (retryAfter time.Duration, pressed bool) {
	if h == nil {
		return 0, false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.services[service]
	if s == nil || !s.pressed(now) {
		return 0, false
	}
	return h.spread(0), true
}

// Load is what a response says about its server. Slots is zero if that is unknown.
type Load struct{ Busy, Slots int }

// RecordServed counts a call that a server has answered.
func (h *Host) RecordServed(service string, took time.Duration, x Load, now time.Time) {
	h.record(service, now, func(b *bucket) {
		b.served++
		b.took += took
		b.recordLoad(x)
	})
}

// RecordRefused counts an attempt that a server did not run. A server that reports a free slot was not
// full.
func (h *Host) RecordRefused(service string, x Load, now time.Time) {
	h.record(service, now, func(b *bucket) {
		if x.Slots == 0 || x.Busy >= x.Slots {
			b.full++
		}
		b.recordLoad(x)
	})
}

// RecordFailed counts an admitted call that no server took.
func (h *Host) RecordFailed(service string, now time.Time) {
	h.record(service, now, func(b *bucket) { b.failed++ })
}

func (h *Host) record(service string, now time.Time, f func(b *bucket)) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	f(h.service(service, now).meter.at(now))
}

func (b *bucket) recordLoad(x Load) {
	if x.Slots <= 0 {
		return
	}
	if x.Busy < x.Slots {
		b.free++
	}
	b.busy += min(1, float64(x.Busy)/float64(x.Slots))
	b.loads++
}

// Report returns what the control leader has to know: the services that are under pressure, and
// those whose servers have refused calls as full. In normal operation it is empty.
func (h *Host) Report(now time.Time) []*fleet.PlainLoad {
	if h == nil {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []*fleet.PlainLoad
	for name, s := range h.services {
		if s.pressure != nil && !s.pressed(now) {
			h.clear(name, s, "control has not answered")
		}
		load := s.meter.load(name, now)
		if s.pressed(now) {
			load.Capacity = s.pressure.Capacity
		}
		switch {
		case s.pressed(now) || load.Full > 0:
			out = append(out, load)
			s.reported = map[Flow]float64{}
			for _, f := range load.Flows {
				s.reported[Flow{f.Workspace, int(f.Priority)}] = 1000 * float64(f.Begun) / float64(load.Spanms)
			}
		case len(load.Flows) == 0 && load.Served == 0:
			delete(h.services, name)
		}
	}
	return out
}

// Apply replaces the shares by those in an answer of the control leader.
func (h *Host) Apply(all []*fleet.Pressure, now time.Time) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	named := map[string]bool{}
	for _, p := range all {
		named[p.Service] = true
		h.apply(p, now)
	}
	for name, s := range h.services {
		if s.pressure != nil && !named[name] {
			h.clear(name, s, "control names none")
		}
	}
}

func (h *Host) apply(p *fleet.Pressure, now time.Time) {
	s := h.service(p.Service, now)
	if s.pressure == nil {
		h.cfg.Log.WithFields(logrus.Fields{"service": p.Service, "capacity": p.Capacity, "limited": len(p.Shares)}).Info("service under pressure")
	}
	s.pressure, s.until = p, now.Add(shareTTL)
	if p.Keep {
		return
	}
	before := s.shares
	s.shares = map[Flow]*hostShare{}
	for _, x := range p.Shares {
		if !(x.Rate >= 0 && x.Rate < x.Demand) {
			continue // no limit, or no number
		}
		f := Flow{x.Workspace, int(x.Priority)}
		// A random first credit keeps hosts from refusing the first calls of a flow all at once.
		credit := h.cfg.Random()
		if old := before[f]; old != nil {
			credit = old.credit
		}
		s.shares[f] = &hostShare{Share{f, x.Demand, x.Rate}, credit, s.reported[f]}
	}
}

func (h *Host) clear(name string, s *hostService, reason string) {
	h.cfg.Log.WithFields(logrus.Fields{"service": name, "reason": reason, "refused": s.refused}).Info("service no longer under pressure")
	s.pressure, s.shares, s.refused, s.loggedAt = nil, nil, 0, time.Time{}
}

func (h *Host) logRefusal(name string, s *hostService, f Flow, retryAfter time.Duration, now time.Time) {
	s.refused++
	if now.Sub(s.loggedAt) < refusalLogInterval {
		return
	}
	h.cfg.Log.WithFields(logrus.Fields{"service": name, "workspace": f.Workspace, "priority": f.Priority, "refused": s.refused,
		"capacity": s.pressure.Capacity, "retry_ms": retryAfter.Milliseconds()}).Info("calls refused, their service is under pressure")
	s.refused, s.loggedAt = 0, now
}
