package feed

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/twitchtv/twirp"

	"github.com/plantainbank/plantainbank/internal/process/catalog"
	"github.com/plantainbank/plantainbank/internal/process/roster"
	"github.com/plantainbank/plantainbank/internal/version/routing"
	"github.com/plantainbank/plantainbank/service/fleet"
)

// Periods of the feed.
const (
	// wait is how long the leader holds a call without news. It bounds how
	// old a host's reports are, and how late a silent connection is noticed.
	wait = 800 * time.Millisecond
	// answerTimeout is added to the wait.
	answerTimeout = 500 * time.Millisecond
	// searchTimeout bounds a call that looks for the leader: a frozen process
	// accepts connections and never answers, and calls must not queue behind it.
	searchTimeout = 250 * time.Millisecond
	// failedRest is how long a process that did not answer is not asked again
	// while there are others.
	failedRest = 700 * time.Millisecond
	// retryLeast and retryMost bound the pause after a failed call.
	retryLeast = 30 * time.Millisecond
	retryMost  = 300 * time.Millisecond
)

// LeaderMeta is the error detail that holds the leader's address.
const LeaderMeta = "leader"

// errProvisional follows news that do not come from a leader.
var errProvisional = errors.New("no leader is known yet")

var errUnknown = errors.New("no control process is known")

// State is an immutable copy of what control decided.
type State struct {
	Term uint64
	// Catalog and Roster are the revisions of the two parts.
	Catalog, Roster uint64
	Public          catalog.Public
	// Table is nil until a configuration is known.
	Table *routing.Table
	// Instances hold the backend servers, the departed ones too.
	Instances []roster.Instance
	// Stores are the live store hosts, Lead is the address of their leader.
	Stores      []*fleet.Host
	StoreLeader string
	// Entries is the number of live entry hosts.
	EntryHosts int
	// Heard is when the leader last answered.
	LastHeard time.Time
}

// Config holds what a Feed needs.
type Config struct {
	Role, Host  string
	Incarnation uint64
	Client      *http.Client
	Log         *logrus.Entry
	// Report fills in what the host tells of itself.
	Report func(*fleet.Report)
	// Changed runs after each change, on the feed's goroutine.
	Changed func(*State)
	// Self is never asked.
	Self string
}

// Feed keeps one State up to date.
type Feed struct {
	cfg   Config
	state atomic.Pointer[State]
	// pause follows the next failed call.
	pause time.Duration
	mu    sync.Mutex
	// seeds come from the settings, known from the leader.
	seeds, known []string
	// lead is the process to ask; proven is true once it has answered.
	lead   string
	proven bool
	next   int
	// silent is when a process failed to answer.
	silent map[string]time.Time
	// hurry ends the call that waits.
	hurry context.CancelFunc
	// lost is true while no control process answers.
	lost bool
	// hurried is true after Hurry until the next call.
	hurried bool
}

// New returns a feed that has heard nothing.
func New(cfg Config, seeds []string) *Feed {
	f := &Feed{cfg: cfg, seeds: seeds, pause: retryLeast, silent: map[string]time.Time{}}
	f.state.Store(&State{})
	return f
}

// State returns the latest copy. It is never nil.
func (f *Feed) State() *State { return f.state.Load() }

// Reseed takes the seeds of changed settings.
func (f *Feed) Reseed(seeds []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seeds = seeds
}

// Hurry reports at once what has changed on this host.
func (f *Feed) ReportNow() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hurried = true
	if f.hurry != nil {
		f.hurry()
	}
}

// Run asks until ctx ends.
func (f *Feed) Run(ctx context.Context) {
	for ctx.Err() == nil {
		f.Poll(ctx)
	}
}

// Once asks one control process, and pauses if that gave nothing.
func (f *Feed) Poll(ctx context.Context) {
	addr, proven := f.target(time.Now())
	err := errUnknown
	if addr != "" {
		err = f.ask(ctx, addr, proven)
	}
	if err == nil {
		f.pause = retryLeast
		f.regained(addr)
		return
	}
	if !errors.Is(err, errProvisional) && (f.takeHurried() || f.failed(ctx, addr, err)) {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(f.pause):
	}
	f.pause = min(2*f.pause, retryMost)
}

func (f *Feed) takeHurried() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	hurried := f.hurried
	f.hurried = false
	return hurried
}

// target returns the leader if it is known, and else the next process that was
// not silent lately. proven tells that it has answered as the leader.
func (f *Feed) target(now time.Time) (addr string, proven bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lead != "" {
		return f.lead, f.proven
	}
	var all []string
	for _, a := range slices.Concat(f.known, f.seeds) {
		if a != f.cfg.Self && !slices.Contains(all, a) {
			all = append(all, a)
		}
	}
	for range all {
		f.next++
		if a := all[f.next%len(all)]; now.Sub(f.silent[a]) > failedRest {
			return a, false
		}
	}
	if len(all) == 0 {
		return "", false
	}
	return all[f.next%len(all)], false
}

// failed notes a failure; it returns true if another process is worth asking
// at once.
func (f *Feed) failed(ctx context.Context, addr string, err error) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lead, f.proven = "", false
	var e twirp.Error
	if errors.As(err, &e) && e.Code() == twirp.FailedPrecondition {
		return f.follow(addr, e.Meta(LeaderMeta))
	}
	f.silent[addr] = time.Now()
	if !f.lost && ctx.Err() == nil {
		f.lost = true
		f.cfg.Log.WithError(err).WithFields(logrus.Fields{"control": addr, "catalog": f.State().Catalog}).
			Warn("lost control, going on with what is known")
	}
	return f.anyFresh()
}

// follow takes the leader that another process names, unless it was silent.
func (f *Feed) follow(addr, lead string) bool {
	if lead == "" || lead == addr || lead == f.cfg.Self || time.Since(f.silent[lead]) <= failedRest {
		return false
	}
	f.lead = lead
	return true
}

// anyFresh reports whether there is a process that was not silent lately.
func (f *Feed) anyFresh() bool {
	return slices.ContainsFunc(slices.Concat(f.known, f.seeds), func(a string) bool {
		return a != f.cfg.Self && time.Since(f.silent[a]) > failedRest
	})
}

func (f *Feed) regained(addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lead, f.proven = addr, true
	delete(f.silent, addr)
	if f.lost {
		f.lost = false
		f.cfg.Log.WithField("control", addr).Info("regained control")
	}
}

// ask reports and takes what comes. Only a proven leader is asked to wait.
func (f *Feed) ask(ctx context.Context, addr string, proven bool) error {
	hold, limit := wait, wait+answerTimeout
	if !proven {
		hold, limit = 0, searchTimeout
	}
	s := f.State()
	q := &fleet.Report{Role: f.cfg.Role, Incarnation: f.cfg.Incarnation, Term: s.Term, Catalog: s.Catalog, Roster: s.Roster,
		Waitms: uint32(hold / time.Millisecond), Host: &fleet.Host{Name: f.cfg.Host}}
	f.cfg.Report(q)
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	f.mu.Lock()
	f.hurry = cancel
	f.mu.Unlock()
	n, err := fleet.NewDirectorProtobufClient("http://"+addr, f.cfg.Client).Watch(ctx, q)
	if err != nil {
		return err
	}
	if err := f.take(n); err != nil || !n.Provisional {
		return err
	}
	return errProvisional
}

// take puts news in force.
func (f *Feed) take(n *fleet.News) error {
	old := f.State()
	s := *old
	s.Term, s.Stores, s.EntryHosts = n.Term, n.Stores, int(n.Entries)
	if !n.Provisional {
		s.LastHeard = time.Now()
	}
	if n.Lead != "" {
		s.StoreLeader = n.Lead
	}
	if len(n.State) > 0 && n.Catalog > old.Catalog {
		s.Public = catalog.Public{}
		if err := json.Unmarshal(n.State, &s.Public); err != nil {
			return err
		}
		s.Catalog = n.Catalog
		if s.Public.Config != nil && (old.Table == nil || old.Table.Config.Version != s.Public.Config.Version) {
			s.Table = routing.NewTable(s.Public.Config)
		}
	}
	if len(n.Instances) > 0 && n.Roster > old.Roster {
		s.Instances = nil
		if err := json.Unmarshal(n.Instances, &s.Instances); err != nil {
			return err
		}
		s.Roster = n.Roster
	}
	f.mu.Lock()
	if len(n.Controls) > 0 {
		f.known = n.Controls
	}
	f.mu.Unlock()
	f.state.Store(&s)
	f.log(old, &s)
	f.cfg.Changed(&s)
	return nil
}

// log writes a line for each change of what the host believes.
func (f *Feed) log(old, s *State) {
	if s.Catalog != old.Catalog {
		version := uint64(0)
		if s.Table != nil {
			version = s.Table.Config.Version
		}
		f.cfg.Log.WithFields(logrus.Fields{"catalog": s.Catalog, "config": version, "zones_out": len(s.Public.ZonesOut)}).
			Info("catalog changed")
	}
	if s.Roster != old.Roster {
		f.cfg.Log.WithFields(logrus.Fields{"roster": s.Roster, "instances": len(s.Instances)}).Info("roster changed")
	}
	if s.StoreLeader != old.StoreLeader {
		f.cfg.Log.WithField("store", s.StoreLeader).Info("store leader changed")
	}
}
