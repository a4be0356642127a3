package feed

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"github.com/plantainbank/plantainbank/internal/connection/departure"
	"github.com/plantainbank/plantainbank/internal/process/catalog"
	"github.com/plantainbank/plantainbank/internal/process/roster"
	"github.com/plantainbank/plantainbank/internal/version/routing"
	"github.com/plantainbank/plantainbank/pkg/process/deflate"
	"github.com/plantainbank/plantainbank/service/fleet"
)

// Timing of the calls to control processes.
const (
	// pollWait is how long the leader holds a call without an update. It bounds how old a
	// host's reports are, and how late an unresponsive connection is noticed.
	pollWait = 800 * time.Millisecond
	// answerTimeout is how long the answer may take beyond pollWait.
	answerTimeout = 500 * time.Millisecond
	// searchTimeout bounds a call that looks for the leader: a hung process accepts
	// connections and never answers, and calls must not queue behind it.
	searchTimeout = 250 * time.Millisecond
	// failedCooldown is how long a process that did not answer is not called again while
	// there are others.
	failedCooldown = 700 * time.Millisecond
	// retryMin and retryMax bound the delay after a failed call.
	retryMin = 30 * time.Millisecond
	retryMax = 300 * time.Millisecond
	// introductionTTL is how long a control process that has introduced itself is asked for the leader, and
	// maxIntroduced how many are.
	introductionTTL = 30 * time.Second
	maxIntroduced   = 16
	// maxRedirects is how many redirects in a row are followed without a delay. While there
	// is no leader, processes may name each other.
	maxRedirects = 2
)

// LeaderMeta is the key of the error metadata that holds the leader's address.
const LeaderMeta = "leader"

// RetryMeta is the key of the error metadata of a refused submission that holds the time after which it may be
// sent again, in milliseconds.
const RetryMeta = "retryms"

// errProvisional means that an update came from a process that is not the leader.
var errProvisional = errors.New("no leader is known yet")

var errNoControl = errors.New("no address of a control process is known")

// State is an immutable copy of the control state.
type State struct {
	Term uint64
	// Catalog and Roster are the revisions of the catalog and of the roster.
	Catalog, Roster uint64
	Public          catalog.Public
	// Table is nil until a configuration is known.
	Table *routing.Table
	// Instances are the backend servers, including departed ones, sorted by ID.
	Instances []roster.Instance
	// Stores are the live store hosts, StoreLeader is the address of their leader.
	Stores      []*fleet.Host
	StoreLeader string
	// EntryHosts is the number of live entry hosts.
	EntryHosts int
	// Relays are entry hosts with links to backend servers.
	Relays []*fleet.Host
	// Rank is the position of this host among the live entry hosts, from 1; 0 if it is none.
	Rank int
	// Quarantine is the revision of the quarantined requests, Limits that of the servers' rate
	// limits.
	Quarantine, Limits uint64
	// LastContact is when the leader last answered.
	LastContact time.Time
}

// Config holds the settings and dependencies of a Feed.
type Config struct {
	Role, Host  string
	Incarnation uint64
	Client      *http.Client
	Log         *logrus.Entry
	// Report fills in what the host reports about itself.
	Report func(*fleet.Report)
	// Changed runs on the feed's goroutine after each update.
	Changed func(*State)
	// Quarantine merges cases of quarantined requests; nil for hosts that need none.
	Quarantine func([]*fleet.Case)
	// Limits merges rate limits of servers; nil for hosts that need none.
	Limits func([]*fleet.Limit)
	// EventTimes stores the event times of engines; nil for hosts that need none.
	EventTimes func([]*fleet.EventTime)
	// Pressures replaces the services under pressure by those in each answer of a leader; nil for hosts
	// that need none.
	Pressures func([]*fleet.Pressure)
	// Self is the address of this process, which is never called.
	Self string
}

// Feed keeps a State up to date.
type Feed struct {
	cfg   Config
	state atomic.Pointer[State]
	// retryDelay is the delay after the next failed call.
	retryDelay time.Duration
	mu         sync.Mutex
	// seeds are the control processes named in the settings, controls those that the
	// leader names.
	seeds, controls []string
	// introduced holds the control processes that have called this one, by address.
	introduced map[string]introduction
	// leader is the process to call; confirmed is true once it has answered as the
	// leader.
	leader    string
	confirmed bool
	next      int
	// redirects is the number of redirects in a row that were followed.
	redirects int
	// failedAt is when a process last failed to answer.
	failedAt map[string]time.Time
	// cancelPoll ends the current call.
	cancelPoll context.CancelFunc
	// disconnected is true from a failed call until the next answer of a control process.
	disconnected bool
	// fullCopy is true while the catalog at hand cannot be followed by differences.
	fullCopy bool
	// reportPending is true from a call of ReportNow until the end of the call that it
	// cancels, whose failure is not counted against the control process.
	reportPending bool
}

// New returns a feed with an empty state.
func New(cfg Config, seeds []string) *Feed {
	f := &Feed{cfg: cfg, seeds: seeds, retryDelay: retryMin, failedAt: map[string]time.Time{}, introduced: map[string]introduction{}}
	f.state.Store(&State{})
	return f
}

// State returns the latest copy. It is never nil.
func (f *Feed) State() *State { return f.state.Load() }

// Leader returns the address of the control leader, empty if it is unknown.
func (f *Feed) Leader() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leader
}

// ConfirmedLeader returns the address of the control leader if it has answered the latest call, empty
// otherwise.
func (f *Feed) ConfirmedLeader() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.confirmed {
		return ""
	}
	return f.leader
}

// ReportNow ends the current call, so that what has changed on this host is reported at
// once.
func (f *Feed) ReportNow() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reportPending = true
	if f.cancelPoll != nil {
		f.cancelPoll()
	}
}

// Run polls until ctx ends.
func (f *Feed) Run(ctx context.Context) {
	for ctx.Err() == nil {
		f.Poll(ctx)
	}
}

// Poll calls one control process, and waits for the retry delay if that gave no update
// from a leader.
func (f *Feed) Poll(ctx context.Context) {
	addr, confirmed := f.target(time.Now())
	err := errNoControl
	if addr != "" {
		err = f.watch(ctx, addr, confirmed)
	}
	if err == nil {
		f.retryDelay = retryMin
		f.clearReportPending()
		f.handleAnswer(addr)
		return
	}
	if !errors.Is(err, errProvisional) && (f.clearReportPending() || f.handleFailure(ctx, addr, err)) {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(f.retryDelay):
	}
	f.retryDelay = min(2*f.retryDelay, retryMax)
}

func (f *Feed) clearReportPending() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	pending := f.reportPending
	f.reportPending = false
	return pending
}

// handleFailure records a failure; it returns true if another process should be called at
// once.
func (f *Feed) handleFailure(ctx context.Context, addr string, err error) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leader, f.confirmed = "", false
	var e twirp.Error
	if errors.As(err, &e) && e.Code() == twirp.FailedPrecondition {
		return f.redirect(addr, e.Meta(LeaderMeta))
	}
	f.redirects = 0
	f.failedAt[addr] = time.Now()
	if !f.disconnected && ctx.Err() == nil {
		f.disconnected = true
		f.cfg.Log.WithError(err).WithFields(logrus.Fields{"control": addr, "catalog": f.State().Catalog}).
			Warn("lost control, going on with what is known")
	}
	return f.anyResponsive()
}

func (f *Feed) handleAnswer(addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leader, f.confirmed = addr, true
	f.redirects = 0
	delete(f.failedAt, addr)
	if f.disconnected {
		f.disconnected = false
		f.cfg.Log.WithField("control", addr).Info("regained control")
	}
}

// watch sends a report and applies the update that is returned. Only a confirmed leader
// is asked to hold the call until there is an update.
func (f *Feed) watch(ctx context.Context, addr string, confirmed bool) error {
	wait, timeout := pollWait, pollWait+answerTimeout
	if !confirmed {
		wait, timeout = 0, searchTimeout
	}
	s := f.State()
	q := &fleet.Report{Role: f.cfg.Role, Incarnation: f.cfg.Incarnation, Term: s.Term, Catalog: s.Catalog, Roster: s.Roster,
		Quarantine: s.Quarantine, Limits: s.Limits, Waitms: uint32(wait / time.Millisecond), Host: &fleet.Host{Name: f.cfg.Host},
		Differences: true, To: f.expectedDisk(addr)}
	if f.fullCopy {
		q.Catalog = 0
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	f.mu.Lock()
	f.cancelPoll = cancel // before the report: ReportNow must not miss a call without its news
	f.mu.Unlock()
	f.cfg.Report(q)
	n, err := fleet.NewDirectorProtobufClient("http://"+addr, f.cfg.Client).Watch(ctx, q)
	if err != nil {
		return err
	}
	if n.Provisional && f.State().Catalog > 0 {
		return errProvisional // what this host has is no older
	}
	if err := f.apply(n); err != nil || !n.Provisional {
		return err
	}
	return errProvisional
}

// ReportLeaving reports a server that leaves at once, unless control has said so already.
func (f *Feed) ReportLeaving(x departure.Incarnation) {
	all := f.State().Instances
	i, found := slices.BinarySearchFunc(all, x.ID, func(a roster.Instance, id string) int { return strings.Compare(a.ID, id) })
	if found && all[i].Born == x.Born && all[i].State == roster.Ready {
		f.ReportNow()
	}
}

// LeavingServers returns the servers that a host reports as leaving.
func LeavingServers(set *departure.Set) []*fleet.Incarnation {
	var out []*fleet.Incarnation
	for _, x := range set.Unannounced() {
		out = append(out, &fleet.Incarnation{Instance: x.ID, Born: x.Born})
	}
	return out
}

// apply replaces the state by one with the update applied.
func (f *Feed) apply(n *fleet.News) error {
	start := time.Now()
	old := f.State()
	s := *old
	s.Term, s.Stores, s.EntryHosts = n.Term, n.Stores, int(n.Entries)
	s.Rank = int(n.Rank)
	s.Relays = n.Relays
	if !n.Provisional {
		s.LastContact = time.Now()
	}
	if n.Lead != "" {
		s.StoreLeader = n.Lead
	}
	if err := f.applyCatalog(n, &s); err != nil {
		return err
	}
	if err := f.applyRoster(n, &s); err != nil {
		return err
	}
	if f.cfg.Quarantine != nil && n.Quarantine > old.Quarantine {
		f.cfg.Quarantine(n.Cases)
		s.Quarantine = n.Quarantine
	}
	if f.cfg.Limits != nil && n.Limits > old.Limits {
		f.cfg.Limits(n.Limited)
		s.Limits = n.Limits
	}
	if f.cfg.EventTimes != nil && len(n.EventTimes) > 0 {
		f.cfg.EventTimes(n.EventTimes)
	}
	if f.cfg.Pressures != nil && !n.Provisional {
		f.cfg.Pressures(n.Pressures)
	}
	f.mu.Lock()
	if len(n.Controls) > 0 {
		f.controls = n.Controls
	}
	f.mu.Unlock()
	f.state.Store(&s)
	f.logChanges(old, &s, logrus.Fields{"bytes": proto.Size(n), "took_ms": time.Since(start).Milliseconds()})
	f.cfg.Changed(&s)
	return nil
}

// applyCatalog applies a full copy of the catalog, or differences that lead from the copy in s to the
// leader's. If a difference does not apply, the host asks for a full copy.
func (f *Feed) applyCatalog(n *fleet.News, s *State) error {
	before := s.Public.Config
	switch {
	case len(n.State) > 0 && (n.Catalog > s.Catalog || f.fullCopy && n.Catalog == s.Catalog):
		public, err := catalog.DecodePublic(n.State, n.Compressed)
		if err != nil {
			return err
		}
		s.Public, s.Catalog = public, n.Catalog
		f.fullCopy = false
	case len(n.Changes) > 0:
		for _, data := range n.Changes {
			if err := applyDifference(data, s); err != nil {
				f.fullCopy = true
				f.cfg.Log.WithError(err).WithField("catalog", s.Catalog).Warn("asking for a full copy of the catalog")
				break
			}
		}
	}
	if c := s.Public.Config; c != nil && c != before && (s.Table == nil || s.Table.Config.Version != c.Version) {
		s.Table = routing.NewTable(c)
	}
	return nil
}

func applyDifference(data []byte, s *State) error {
	d, err := catalog.DecodeDifference(data)
	if err != nil {
		return err
	}
	public, err := d.Apply(s.Catalog, s.Public)
	if err != nil {
		return err
	}
	s.Public, s.Catalog = public, d.To
	return nil
}

// maxRosterBytes bounds a roster once it is decompressed.
const maxRosterBytes = 64 << 20

// applyRoster applies a full copy of the roster, or the changes since the copy in s. Entries that no
// server can have are left out: the leader may be of an older version.
func (f *Feed) applyRoster(n *fleet.News, s *State) error {
	if len(n.Instances) == 0 || n.Roster <= s.Roster {
		return nil
	}
	data := n.Instances
	if n.Compressed {
		var err error
		if data, err = deflate.Decompress(data, maxRosterBytes); err != nil {
			return fmt.Errorf("cannot decompress the roster: %w", err)
		}
	}
	var instances []roster.Instance
	if err := json.Unmarshal(data, &instances); err != nil {
		return fmt.Errorf("cannot decode the roster: %w", err)
	}
	instances, invalid := roster.DropInvalid(instances)
	for id, err := range invalid {
		f.cfg.Log.WithError(err).WithField("instance", id).Warn("instance dropped")
	}
	setCold(instances, n.Clock, time.Now())
	if n.Partial {
		instances = roster.Merge(s.Instances, instances, n.Removed)
	}
	s.Instances, s.Roster = instances, n.Roster
	return nil
}

// setCold converts the times until which instances are cold from the leader's clock, which may differ from this
// host's by seconds. clock is the leader's time in Unix milliseconds at now, zero if it is unknown.
func setCold(all []roster.Instance, clock int64, now time.Time) {
	for i := range all {
		if x := &all[i]; clock != 0 && x.ColdUntil != 0 {
			x.Cold = now.Add(time.Duration(x.ColdUntil-clock) * time.Millisecond)
		}
	}
}

// logChanges logs changes of the catalog, the roster and the store leader. cost is what the update
// cost this host.
func (f *Feed) logChanges(old, s *State, cost logrus.Fields) {
	if s.Catalog != old.Catalog {
		version := uint64(0)
		if s.Table != nil {
			version = s.Table.Config.Version
		}
		f.cfg.Log.WithFields(cost).WithFields(logrus.Fields{"catalog": s.Catalog, "config": version, "zones_out": len(s.Public.ZonesOut)}).
			Info("catalog changed")
	}
	if s.Roster != old.Roster {
		f.cfg.Log.WithFields(cost).WithFields(logrus.Fields{"roster": s.Roster, "instances": len(s.Instances)}).Info("roster changed")
	}
	if s.StoreLeader != old.StoreLeader {
		f.cfg.Log.WithField("store", s.StoreLeader).Info("store leader changed")
	}
}
