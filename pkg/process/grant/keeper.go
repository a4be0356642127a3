// Package grant keeps an entry host's lease on the configuration: it renews
// it, puts each new version in force and stops the host's work when the lease
// has ended.
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

// Periods of the keeper.
const (
	watchPeriod = 20 * time.Millisecond
	retryPause  = 50 * time.Millisecond
	// answerSlack is how much longer than its wait a renewal may take.
	answerSlack = 700 * time.Millisecond
	// wakePause bounds the rate of renewals that are made early.
	wakePause = 30 * time.Millisecond
	// announcedLongest is the age at which an announcement is dropped.
	announcedLongest = 4 * time.Second
)

// Config holds what a Keeper needs. Function fields are its seams.
type Config struct {
	Host        string
	Zone        string
	Incarnation uint64
	// Wait is the longest time between two renewals.
	Wait   time.Duration
	Leader *leader.Client
	Table  *backendserver.Table
	Log    *logrus.Entry
	// Usage returns the counters so far.
	Usage func() []*pb.Usage
	// Demand returns the running and waiting requests.
	Demand func() []*pb.Demand
	// Load returns the offered load since the last call.
	Load func() []*pb.Load
	// Changed is called after a new version is in force, and when the lease
	// ends or begins. held tells which.
	Changed func(v *view.View, held bool)
}

// Keeper keeps the lease. It is safe for concurrent use.
type Renewer struct {
	cfg  Config
	view atomic.Pointer[view.View]
	// started is what until counts from. Its monotonic reading keeps the lease
	// from growing when the wall clock is set back.
	started time.Time
	// until is the end of the lease in nanoseconds after started.
	until atomic.Int64
	// open is the number of slots of steps that nobody works on.
	open atomic.Int64

	mu        sync.Mutex
	holder    lease.Holder
	announced map[string]*announcement
	term      uint64
	seq       uint64
	leaving   bool
	// cancel ends the renewal under way, so that the next one starts.
	cancel context.CancelFunc
	woken  bool
}

// announcement is the latest announcement of a backend server.
type announcement struct {
	word  *pb.Announcement
	heard time.Time
	// sent is false until the leader has taken it in.
	sent bool
}

// New returns a keeper that holds nothing yet.
func New(cfg Config) *Renewer {
	k := &Renewer{cfg: cfg, started: time.Now(), announced: map[string]*announcement{}}
	k.view.Store((&view.View{}).Update(0, true, nil, nil))
	return k
}

// View returns the version in force; ok is false without a valid lease.
func (k *Renewer) View() (v *view.View, ok bool) {
	return k.view.Load(), int64(time.Since(k.started)) < k.until.Load()
}

// Open returns the number of slots of steps that wait for a host.
func (k *Renewer) OpenSlots() int { return int(k.open.Load()) }

// Run renews until ctx ends.
func (k *Renewer) Run(ctx context.Context) {
	go k.watch(ctx)
	for ctx.Err() == nil {
		if err := k.renew(ctx); err != nil && !k.takeWoken() {
			pause(ctx, retryPause)
		}
	}
}

// watch reports the end and the begin of the lease.
func (k *Renewer) watch(ctx context.Context) {
	held := false
	tick := time.NewTicker(watchPeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		v, ok := k.View()
		if ok == held {
			continue
		}
		held = ok
		if !held {
			k.dropShares()
		}
		k.cfg.Log.WithField("held", held).Info("lease on the configuration changed")
		k.cfg.Changed(v, held)
	}
}

// dropShares gives up all shares, unless the lease was renewed meanwhile.
func (k *Renewer) dropShares() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, held := k.View(); !held {
		k.cfg.Table.SetShares(nil, nil)
	}
}

func (k *Renewer) renew(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, k.cfg.Wait+answerSlack)
	defer cancel()
	q := k.request(cancel)
	sent := time.Now()
	var g *pb.Grant
	err := k.cfg.Leader.CallOnce(ctx, func(ctx context.Context, c pb.Control) (err error) {
		g, err = c.Renew(ctx, q)
		return err
	})
	if err != nil {
		return err
	}
	k.apply(q, g, sent)
	return nil
}

// request builds the host's report.
func (k *Renewer) request(cancel context.CancelFunc) *pb.RenewRequest {
	v, held := k.View()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cancel = cancel
	k.seq++
	q := &pb.RenewRequest{Host: k.cfg.Host, Incarnation: k.cfg.Incarnation, Zone: k.cfg.Zone, Seq: k.seq,
		Term: k.term, Revision: v.Revision, Table: k.cfg.Table.Number(), Usage: k.cfg.Usage(),
		Demands: k.cfg.Demand(), Loads: k.cfg.Load(), Leaving: k.leaving, Waitms: uint32(k.cfg.Wait / time.Millisecond)}
	if !held {
		q.Waitms = 0
	}
	for id, a := range k.announced {
		switch {
		case time.Since(a.heard) > announcedLongest:
			delete(k.announced, id)
		case !a.sent:
			q.Announcements = append(q.Announcements, a.word)
		}
	}
	for _, h := range k.cfg.Table.Holdings() {
		q.Holdings = append(q.Holdings, &pb.Holding{Backend: h.ID, Incarnation: h.Incarnation,
			Share: uint32(h.Share), Running: uint32(h.Running), Limit: uint32(h.Limit), Suspect: h.Suspect})
		q.Outcomes = append(q.Outcomes, &pb.Outcome{Backend: h.ID, Incarnation: h.Incarnation,
			Served: h.Counts.Served, Refused: h.Counts.Refused, Failed: h.Counts.Failed})
	}
	return q
}

// apply puts an answer in force. Versions never go back.
func (k *Renewer) apply(q *pb.RenewRequest, g *pb.Grant, sent time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	old := k.view.Load()
	if q.Seq != k.seq || g.Term < k.term || g.Revision < old.Revision {
		return
	}
	if g.Term > k.term {
		k.resendAnnouncements()
	} else {
		k.markSent(q)
	}
	k.term = g.Term
	k.holder.Extend(sent, time.Duration(g.Durationms)*time.Millisecond)
	v := k.nextView(old, g)
	if g.Tablesent {
		k.cfg.Table.Replace(g.Table, serversOf(g.Backends))
	}
	k.cfg.Table.SetZonesOut(v.ZonesOut)
	k.cfg.Table.SetShares(sharesOf(g.Shares), suspectsOf(q))
	k.view.Store(v)
	k.open.Store(int64(g.Openslots))
	k.until.Store(int64(k.holder.Until.Sub(k.started)))
	if _, held := k.View(); held {
		k.cfg.Changed(v, true)
	}
}

func (k *Renewer) nextView(old *view.View, g *pb.Grant) *view.View {
	versions := map[string]uint64{}
	for _, x := range g.Versions {
		versions[x.Trainer] = x.Version
	}
	if g.Revision == old.Revision && !g.Full {
		return old.WithVersions(versions)
	}
	var records []record.Record
	for _, r := range g.Records {
		records = append(records, record.Record{Kind: r.Kind, Name: r.Name, Schema: int(r.Schema),
			Revision: r.Revision, Spec: r.Spec, Withdrawn: r.Withdrawn})
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

// suspectsOf lists the suspect servers that a request has reported.
func suspectsOf(q *pb.RenewRequest) map[string]bool {
	out := map[string]bool{}
	for _, h := range q.Holdings {
		if h.Suspect {
			out[h.Backend] = true
		}
	}
	return out
}

func (k *Renewer) markSent(q *pb.RenewRequest) {
	for _, w := range q.Announcements {
		if a := k.announced[w.Id]; a != nil && a.word == w {
			a.sent = true
		}
	}
}

// resendAnnouncements tells a new leader everything that is known.
func (k *Renewer) resendAnnouncements() {
	for _, a := range k.announced {
		a.sent = false
	}
}

// Announce takes in a backend server's announcement.
func (k *Renewer) Announce(w *pb.Announcement) {
	k.mu.Lock()
	old := k.announced[w.Id]
	k.announced[w.Id] = &announcement{word: w, heard: time.Now()}
	urgent := w.Leaving || old == nil || old.word.Incarnation != w.Incarnation
	k.mu.Unlock()
	if urgent {
		k.RenewSoon()
	}
}

// Wake makes the next renewal start soon.
func (k *Renewer) RenewSoon() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.woken || k.cancel == nil {
		return
	}
	k.woken = true
	time.AfterFunc(wakePause, func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.cancel()
	})
}

func (k *Renewer) takeWoken() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	w := k.woken
	k.woken = false
	return w
}

// Leave tells the leader that this host takes no new work, so that its shares
// go to others at once.
func (k *Renewer) Leave() {
	k.mu.Lock()
	k.leaving = true
	k.mu.Unlock()
	k.RenewSoon()
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
