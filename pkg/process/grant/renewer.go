// Package grant maintains an entry host's lease on the configuration. It renews the
// lease, activates each new version of the configuration and stops the host's work when
// the lease has expired.
package grant

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/plantainbank/plantainbank/pkg/connection/backendserver"
	"github.com/plantainbank/plantainbank/pkg/process/leader"
	"github.com/plantainbank/plantainbank/pkg/process/lease"
	"github.com/plantainbank/plantainbank/pkg/version/record"
	"github.com/plantainbank/plantainbank/pkg/version/view"
	pb "github.com/plantainbank/plantainbank/service/control"
)

// Timing of the renewer.
const (
	watchInterval = 20 * time.Millisecond
	retryDelay    = 50 * time.Millisecond
	// answerMargin is how much longer than its long-poll wait a renewal may take.
	answerMargin = 700 * time.Millisecond
	// earlyDelay limits the rate of early renewals.
	earlyDelay = 30 * time.Millisecond
	// announcementMaxAge is the age at which an announcement is dropped.
	announcementMaxAge = 4 * time.Second
)

// Config holds the settings, dependencies and callbacks of a Renewer.
type Config struct {
	Host        string
	Zone        string
	Incarnation uint64
	// Wait is the maximum time between two renewals.
	Wait   time.Duration
	Leader *leader.Client
	Table  *backendserver.Table
	Log    *logrus.Entry
	// Usage returns the cumulative usage counters.
	Usage func() []*pb.Usage
	// Demand returns the numbers of running and waiting requests.
	Demand func() []*pb.Demand
	// Load returns the offered load since the last call.
	Load func() []*pb.Load
	// Changed is called after a new version is in force, and when the lease begins or
	// ends. valid reports whether the host has a valid lease.
	Changed func(v *view.View, valid bool)
}

// Renewer renews the lease. It is safe for concurrent use.
type Renewer struct {
	cfg  Config
	view atomic.Pointer[view.View]
	// started is the reference time of until. Its monotonic clock reading keeps the
	// lease from growing when the wall clock is set back.
	started time.Time
	// until is the end of the lease, in nanoseconds after started.
	until atomic.Int64
	// openSlots is the number of slots of steps that no host works on.
	openSlots atomic.Int64

	mu        sync.Mutex
	holder    lease.Holder
	announced map[string]*announcement
	term      uint64
	seq       uint64
	leaving   bool
	// cancel aborts the renewal in flight, so that the next one starts.
	cancel context.CancelFunc
	// early is set by RenewSoon, until the renewal that it aborts has returned.
	early bool
}

// announcement is the latest announcement received from a backend server.
type announcement struct {
	message  *pb.Announcement
	received time.Time
	// sent is true once the leader has answered a renewal with this message.
	sent bool
}

// New returns a renewer without a lease.
func New(cfg Config) *Renewer {
	r := &Renewer{cfg: cfg, started: time.Now(), announced: map[string]*announcement{}}
	r.view.Store((&view.View{}).Update(0, true, nil, nil))
	return r
}

// View returns the configuration version in force; ok is false without a valid lease.
func (r *Renewer) View() (v *view.View, ok bool) {
	return r.view.Load(), int64(time.Since(r.started)) < r.until.Load()
}

// OpenSlots returns the number of slots of steps that wait for a host.
func (r *Renewer) OpenSlots() int { return int(r.openSlots.Load()) }

// Run renews the lease until ctx ends.
func (r *Renewer) Run(ctx context.Context) {
	go r.watch(ctx)
	for ctx.Err() == nil {
		if err := r.renew(ctx); err != nil && !r.takeEarly() {
			sleep(ctx, retryDelay)
		}
	}
}

// watch reports the beginning and the end of the lease.
func (r *Renewer) watch(ctx context.Context) {
	valid := false
	tick := time.NewTicker(watchInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		v, ok := r.View()
		if ok == valid {
			continue
		}
		valid = ok
		if !valid {
			r.dropShares()
		}
		r.cfg.Log.WithField("held", valid).Info("lease on the configuration changed")
		r.cfg.Changed(v, valid)
	}
}

// dropShares releases all shares, unless the lease was renewed meanwhile.
func (r *Renewer) dropShares() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, valid := r.View(); !valid {
		r.cfg.Table.SetShares(nil, nil)
	}
}

func (r *Renewer) renew(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.Wait+answerMargin)
	defer cancel()
	q := r.request(cancel)
	sent := time.Now()
	var g *pb.Grant
	err := r.cfg.Leader.CallOnce(ctx, func(ctx context.Context, c pb.Control) (err error) {
		g, err = c.Renew(ctx, q)
		return err
	})
	if err != nil {
		return err
	}
	r.apply(q, g, sent)
	return nil
}

// request builds the renewal request with the host's report.
func (r *Renewer) request(cancel context.CancelFunc) *pb.RenewRequest {
	v, valid := r.View()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancel = cancel
	r.seq++
	q := &pb.RenewRequest{Host: r.cfg.Host, Incarnation: r.cfg.Incarnation, Zone: r.cfg.Zone, Seq: r.seq,
		Term: r.term, Revision: v.Revision, Table: r.cfg.Table.Revision(), Usage: r.cfg.Usage(),
		Demands: r.cfg.Demand(), Loads: r.cfg.Load(), Leaving: r.leaving, Waitms: uint32(r.cfg.Wait / time.Millisecond)}
	if !valid {
		q.Waitms = 0
	}
	for id, a := range r.announced {
		switch {
		case time.Since(a.received) > announcementMaxAge:
			delete(r.announced, id)
		case !a.sent:
			q.Announcements = append(q.Announcements, a.message)
		}
	}
	for _, h := range r.cfg.Table.Holdings() {
		q.Holdings = append(q.Holdings, &pb.Holding{Backend: h.ID, Incarnation: h.Incarnation,
			Share: uint32(h.Share), Running: uint32(h.Running), Limit: uint32(h.Limit), Suspect: h.Suspect})
		q.Outcomes = append(q.Outcomes, &pb.Outcome{Backend: h.ID, Incarnation: h.Incarnation,
			Served: h.Counts.Served, Refused: h.Counts.Refused, Failed: h.Counts.Failed})
	}
	return q
}

// apply activates a grant. Grants of an earlier request, term or revision are ignored.
func (r *Renewer) apply(q *pb.RenewRequest, g *pb.Grant, sent time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.view.Load()
	if q.Seq != r.seq || g.Term < r.term || g.Revision < old.Revision {
		return
	}
	if g.Term > r.term {
		r.resendAnnouncements()
	} else {
		r.markSent(q)
	}
	r.term = g.Term
	r.holder.Extend(sent, time.Duration(g.Durationms)*time.Millisecond)
	v := r.nextView(old, g)
	if g.Tablesent {
		r.cfg.Table.Replace(g.Table, serversOf(g.Backends))
	}
	r.cfg.Table.SetZonesOut(v.ZonesOut)
	r.cfg.Table.SetShares(sharesOf(g.Shares), suspectsOf(q))
	r.view.Store(v)
	r.openSlots.Store(int64(g.Openslots))
	r.until.Store(int64(r.holder.Until.Sub(r.started)))
	if _, valid := r.View(); valid {
		r.cfg.Changed(v, true)
	}
}

func (r *Renewer) nextView(old *view.View, g *pb.Grant) *view.View {
	versions := map[string]uint64{}
	for _, x := range g.Versions {
		versions[x.Trainer] = x.Version
	}
	if g.Revision == old.Revision && !g.Full {
		return old.WithVersions(versions)
	}
	var records []record.Record
	for _, rec := range g.Records {
		records = append(records, record.Record{Kind: rec.Kind, Name: rec.Name, Schema: int(rec.Schema),
			Revision: rec.Revision, Spec: rec.Spec, Withdrawn: rec.Withdrawn})
	}
	return old.Update(g.Revision, g.Full, records, versions)
}

func serversOf(backends []*pb.Backend) []backendserver.Server {
	var out []backendserver.Server
	for _, b := range backends {
		a := b.Announced
		out = append(out, backendserver.Server{ID: a.Id, Incarnation: a.Incarnation, Addr: a.Addr, Zone: a.Zone,
			Pool: a.Pool, Kind: a.Kind, Class: a.Class, Versions: a.Versions, Leaving: a.Leaving,
			Running: int(a.Running), Limit: int(b.Limit)})
	}
	return out
}

func sharesOf(shares []*pb.Share) map[string]int {
	out := make(map[string]int, len(shares))
	for _, s := range shares {
		out[s.Backend] = int(s.Share)
	}
	return out
}

// suspectsOf returns the suspect servers that a request has reported.
func suspectsOf(q *pb.RenewRequest) map[string]bool {
	out := map[string]bool{}
	for _, h := range q.Holdings {
		if h.Suspect {
			out[h.Backend] = true
		}
	}
	return out
}

func (r *Renewer) markSent(q *pb.RenewRequest) {
	for _, m := range q.Announcements {
		if a := r.announced[m.Id]; a != nil && a.message == m {
			a.sent = true
		}
	}
}

// resendAnnouncements marks all announcements to be sent again, to a new leader.
func (r *Renewer) resendAnnouncements() {
	for _, a := range r.announced {
		a.sent = false
	}
}

// Announce records a backend server's announcement for the next renewal. It renews early
// if the server is new, restarted or leaving.
func (r *Renewer) Announce(m *pb.Announcement) {
	r.mu.Lock()
	old := r.announced[m.Id]
	r.announced[m.Id] = &announcement{message: m, received: time.Now()}
	urgent := m.Leaving || old == nil || old.message.Incarnation != m.Incarnation
	r.mu.Unlock()
	if urgent {
		r.RenewSoon()
	}
}

// RenewSoon aborts the renewal in flight after earlyDelay, so that the next one starts.
func (r *Renewer) RenewSoon() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.early || r.cancel == nil {
		return
	}
	r.early = true
	time.AfterFunc(earlyDelay, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.cancel()
	})
}

func (r *Renewer) takeEarly() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	early := r.early
	r.early = false
	return early
}

// Leave notifies the leader that this host takes no new work, so that its shares go to
// other hosts without delay.
func (r *Renewer) Leave() {
	r.mu.Lock()
	r.leaving = true
	r.mu.Unlock()
	r.RenewSoon()
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
