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
	answerTimeout = 600 * time.Millisecond
	// retryLeast and retryMost bound the pause after a failed call.
	retryLeast = 30 * time.Millisecond
	retryMost  = 300 * time.Millisecond
)

// LeaderMeta is the error detail that holds the leader's address.
const LeaderMeta = "leader"

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
	Stores []*fleet.Host
	Lead   string
	// Entries is the number of live entry hosts.
	Entries int
	// Heard is when the leader last answered.
	Heard time.Time
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
	lead         string
	next         int
	// hurry ends the call that waits.
	hurry context.CancelFunc
	// lost is true while no control process answers.
	lost bool
	// hurried is true after Hurry until the next call.
	hurried bool
}

// New returns a feed that has heard nothing.
func New(cfg Config, seeds []string) *Feed {
	f := &Feed{cfg: cfg, seeds: seeds, pause: retryLeast}
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
func (f *Feed) Hurry() {
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
		f.Once(ctx)
	}
}

// Once asks one control process, and pauses if that gave nothing.
func (f *Feed) Once(ctx context.Context) {
	addr := f.target()
	err := errUnknown
	if addr != "" {
		err = f.ask(ctx, addr)
	}
	if err == nil {
		f.pause = retryLeast
		f.regained(addr)
		return
	}
	if f.takeHurried() || f.failed(ctx, addr, err) {
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

// target returns the leader if it is known, and else the next address.
func (f *Feed) target() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lead != "" {
		return f.lead
	}
	var all []string
	for _, a := range slices.Concat(f.known, f.seeds) {
		if a != f.cfg.Self && !slices.Contains(all, a) {
			all = append(all, a)
		}
	}
	if len(all) == 0 {
		return ""
	}
	f.next++
	return all[f.next%len(all)]
}

// failed notes a failure; it returns true if another address is worth asking
// at once.
func (f *Feed) failed(ctx context.Context, addr string, err error) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	var e twirp.Error
	lead := ""
	if errors.As(err, &e) {
		lead = e.Meta(LeaderMeta)
	}
	follow := lead != "" && lead != addr && lead != f.lead && lead != f.cfg.Self
	f.lead = ""
	if follow {
		f.lead = lead
		return true
	}
	if !f.lost && ctx.Err() == nil {
		f.lost = true
		f.cfg.Log.WithError(err).WithFields(logrus.Fields{"control": addr, "catalog": f.State().Catalog}).
			Warn("lost control, going on with what is known")
	}
	return false
}

func (f *Feed) regained(addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lead = addr
	if f.lost {
		f.lost = false
		f.cfg.Log.WithField("control", addr).Info("regained control")
	}
}

func (f *Feed) ask(ctx context.Context, addr string) error {
	s := f.State()
	q := &fleet.Report{Role: f.cfg.Role, Incarnation: f.cfg.Incarnation, Term: s.Term, Catalog: s.Catalog, Roster: s.Roster,
		Waitms: uint32(wait / time.Millisecond), Host: &fleet.Host{Name: f.cfg.Host}}
	f.cfg.Report(q)
	ctx, cancel := context.WithTimeout(ctx, wait+answerTimeout)
	defer cancel()
	f.mu.Lock()
	f.hurry = cancel
	f.mu.Unlock()
	n, err := fleet.NewDirectorProtobufClient("http://"+addr, f.cfg.Client).Watch(ctx, q)
	if err != nil {
		return err
	}
	return f.take(n)
}

// take puts news in force.
func (f *Feed) take(n *fleet.News) error {
	old := f.State()
	s := *old
	s.Term, s.Stores, s.Entries, s.Heard = n.Term, n.Stores, int(n.Entries), time.Now()
	if n.Lead != "" {
		s.Lead = n.Lead
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
	if s.Lead != old.Lead {
		f.cfg.Log.WithField("store", s.Lead).Info("store leader changed")
	}
}
