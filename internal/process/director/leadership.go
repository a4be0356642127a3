package director

import (
	"slices"
	"time"

	"github.com/plantainbank/plantainbank/internal/connection/admission"
	"github.com/plantainbank/plantainbank/internal/connection/ratelimit"
	"github.com/plantainbank/plantainbank/internal/process/propagation"
	"github.com/plantainbank/plantainbank/internal/process/roster"
	"github.com/plantainbank/plantainbank/internal/process/weights"
	"github.com/plantainbank/plantainbank/internal/request/origin"
	"github.com/plantainbank/plantainbank/pkg/process/replica"
	"github.com/plantainbank/plantainbank/pkg/process/settings"
	"github.com/plantainbank/plantainbank/service/fleet"
)

// Timing of a leadership.
const (
	// hostTimeout is how long a host counts as live after its latest report; hosts report
	// every 0.8 s.
	hostTimeout = 2500 * time.Millisecond
	// saveRosterInterval is the minimum time between two writes of the roster to the log.
	saveRosterInterval = time.Second
	// rosterTermShift is the position of the term in the roster revisions of a leadership.
	rosterTermShift = 32
	// announcementWait is how long a new leader that had no copy of the roster waits for
	// announcements before it sends its roster: two announcement intervals of 1.2 s.
	announcementWait = 2600 * time.Millisecond
)

// leadership is the state of a leader in one term, beyond the catalog.
type leadership struct {
	term  uint64
	since time.Time
	// token is zero until the leadership is committed to the log; actFrom is set with it.
	token uint64
	// actFrom is the time from which the leader may call engines and the platform.
	actFrom      time.Time
	establishing bool
	roster       *roster.Table
	// hosts holds the latest reports, by role and name.
	hosts map[string]map[string]*host
	// ranks holds the result of entryRanks, ranksAt is when it was computed.
	ranks   map[string]uint32
	ranksAt time.Time
	// linked holds the live entry hosts that other ones may send requests through, as of ranksAt.
	linked []*fleet.Host
	// copied holds the result of instancesFor, by role.
	copied  map[string]rosterCopy
	planner *weights.Planner
	limits  *ratelimit.Ledger
	streams *origin.Table
	// plain divides the capacity of plain services under pressure.
	plain *admission.Ledger
	// catalogChanges and rosterChanges follow changes until all hosts have them.
	catalogChanges, rosterChanges propagation.Tracker
	// accepted is the number of orders that an engine has accepted, by incarnation of the
	// instance.
	accepted map[instanceKey]uint64
	// eventTimes are what the leader of the store group has reported.
	eventTimes eventTimes
	// closingWindow is true while a usage window is being closed or reported.
	closingWindow bool
	// fencedAt is when a call was last rejected for an outdated fencing token.
	fencedAt time.Time
	// savedRevision is the roster revision that was last written to the log, savedAt is
	// when.
	savedRevision uint64
	savedAt       time.Time
	saving        bool
	// savingControls is true while the control processes are written to the log, savedControlsAt is when
	// that last began.
	savingControls  bool
	savedControlsAt time.Time
	// rosterLoaded is true once the roster stored in the log has been loaded.
	rosterLoaded bool
	// storesReadyAt is when enough empty store hosts were live for the first time, or
	// when the initial voters were last chosen.
	storesReadyAt time.Time
}

// rosterCopy is the roster at a revision.
type rosterCopy struct {
	revision uint64
	all      []roster.Instance
}

// instanceKey identifies one incarnation of a backend server.
type instanceKey struct {
	id   string
	born int64
}

// host holds the latest report of a host.
type host struct {
	*fleet.Host
	incarnation uint64
	lastReport  time.Time
	leaving     bool
	// unlinked is true while an entry host has lost its links to the backend servers.
	unlinked bool
	replica  *fleet.Replica
	// usage holds the latest counts of this incarnation, by window.
	usage map[uint64]map[string]uint64
}

func newLeadership(term uint64, now time.Time) *leadership {
	return &leadership{term: term, since: now, roster: roster.New(term << rosterTermShift), hosts: map[string]map[string]*host{}, copied: map[string]rosterCopy{},
		planner: weights.New(), limits: ratelimit.NewLedger(), streams: origin.NewTable(maxStreamRecords),
		plain: admission.NewLedger(now), accepted: map[instanceKey]uint64{}, eventTimes: eventTimes{}}
}

// loadRoster loads the roster stored in the log. A process that has just been elected may
// not have applied the log yet, so loading waits for the first call that needs the
// leader. It returns what is wrong with the stored instances that no server can have, by ID: a leader
// of an older version may have stored them.
func (l *leadership) loadRoster(stored []roster.Instance, software []roster.Software) (invalid map[string]error) {
	if l.rosterLoaded {
		return nil
	}
	l.rosterLoaded = true
	stored, invalid = roster.DropInvalid(stored)
	l.roster.Load(stored, time.Now())
	l.roster.LoadSoftware(software, time.Now())
	return invalid
}

// sentRoster reports whether a roster revision is of this leadership.
func (l *leadership) sentRoster(revision uint64) bool { return revision>>rosterTermShift == l.term }

// waitedForAnnouncements reports whether announcementWait has passed since the start of
// the leadership.
func (l *leadership) waitedForAnnouncements(now time.Time) bool {
	return now.Sub(l.since) > announcementWait
}

// recordReport stores a report, unless a later incarnation of the host has reported.
func (l *leadership) recordReport(q *fleet.Report, now time.Time) *host {
	h := l.hosts[q.Role][q.Host.Name]
	if h == nil || q.Incarnation > h.incarnation {
		h = &host{incarnation: q.Incarnation, usage: map[uint64]map[string]uint64{}}
		if l.hosts[q.Role] == nil {
			l.hosts[q.Role] = map[string]*host{}
		}
		l.hosts[q.Role][q.Host.Name] = h
	}
	if q.Incarnation < h.incarnation {
		return h
	}
	if now.Sub(h.lastReport) >= hostTimeout {
		l.ranks = nil // the host was not live
	}
	if h.leaving != q.Leaving || h.unlinked != q.Unlinked {
		l.ranks = nil // relays may have changed
	}
	if q.Replica != nil && q.Replica.Leader {
		l.eventTimes.add(q.Replica.EventTimes)
	}
	h.Host, h.lastReport, h.leaving, h.unlinked, h.replica = q.Host, now, q.Leaving, q.Unlinked, q.Replica
	for _, w := range q.Usage {
		h.usage[w.Number] = w.Counts
	}
	return h
}

// liveHosts returns the live hosts of a role.
func (l *leadership) liveHosts(role string, now time.Time) []*host {
	var out []*host
	for _, h := range l.hosts[role] {
		if now.Sub(h.lastReport) < hostTimeout {
			out = append(out, h)
		}
	}
	return out
}

// ranksTTL is how long the ranks of the entry hosts are used.
const ranksTTL = 100 * time.Millisecond

// entryRanks returns the position of each live entry host among them by name, from 1. The result
// is shared and must not be modified.
func (l *leadership) entryRanks(now time.Time) map[string]uint32 {
	if l.ranks != nil && now.Sub(l.ranksAt) < ranksTTL {
		return l.ranks
	}
	sorted := sortedHosts(l.liveHosts(settings.RoleEntry, now))
	l.ranks, l.ranksAt, l.linked = make(map[string]uint32, len(sorted)), now, nil
	for i, x := range sorted {
		l.ranks[x.Name] = uint32(i + 1)
		if h := l.hosts[settings.RoleEntry][x.Name]; !h.leaving && !h.unlinked {
			l.linked = append(l.linked, x)
		}
	}
	return l.ranks
}

// maxRelays is the number of relays that an entry host knows of.
const maxRelays = 4

// relaysFor returns the entry hosts through which a host may send requests while it has lost its own
// links. Hosts get different ones, so that the load is spread.
func (l *leadership) relaysFor(name string, now time.Time) []*fleet.Host {
	rank, n := int(l.entryRanks(now)[name]), len(l.linked)
	var out []*fleet.Host
	for i := 0; i < n && len(out) < maxRelays; i++ {
		if h := l.linked[(rank*maxRelays+i)%n]; h.Name != name {
			out = append(out, h)
		}
	}
	return out
}

// storeLeader returns the leader of the store group according to the store hosts'
// reports.
func (l *leadership) storeLeader(now time.Time) *host {
	var lead *host
	for _, h := range l.hosts[settings.RoleStore] {
		if h.replica == nil || !h.replica.Leader || now.Sub(h.lastReport) >= hostTimeout {
			continue
		}
		if lead == nil || h.replica.Term > lead.replica.Term {
			lead = h
		}
	}
	return lead
}

// rosterRevision returns the roster revision that hosts of a role should have. Entry
// hosts do not choose by weights, so weight changes alone do not reach them: weights
// change several times a second, and there are many entry hosts.
func (l *leadership) rosterRevision(role string) uint64 {
	if role == settings.RoleEntry {
		return l.roster.RoutingRevision
	}
	return l.roster.Revision
}

// instancesFor returns the instances that hosts of a role should have. The result is shared and
// must not be modified.
func (l *leadership) instancesFor(role string) []roster.Instance {
	revision := l.rosterRevision(role)
	if c, ok := l.copied[role]; ok && c.revision == revision {
		return c.all
	}
	all := l.roster.All()
	if role == settings.RoleEntry {
		all = l.roster.AllWithoutWeights()
	}
	l.copied[role] = rosterCopy{revision, all}
	return all
}

// clockMargin is added to a time that another host's clock measured; clocks differ by seconds.
const clockMargin = 6 * time.Second

// actDelay returns how long after its election a leader waits until it acts. Two hosts must not
// take turns within a lease, also at receivers that compare fencing tokens: a host from which the
// leadership was taken a short time ago waits. Receivers that do not compare tokens may get a call
// of the previous leader late, so every leader waits there. supersededAt is when another host
// last took the leadership from this one, zero if never.
func actDelay(lease time.Duration, fenced bool, supersededAt, now time.Time) time.Duration {
	if fenced && (supersededAt.IsZero() || now.Sub(supersededAt) > lease+clockMargin) {
		return 0
	}
	return lease
}

// demand returns what trainers need of the engines, as far as the leader of the store group
// has reported it.
func (l *leadership) demand(published map[string]uint64, now time.Time) weights.Demand {
	d := weights.Demand{Published: published}
	if lead := l.storeLeader(now); lead != nil {
		d.MinVersions, d.Work = lead.replica.Least, lead.replica.Work
	}
	d.Speeds = l.eventTimes.speeds()
	return d
}

// voters returns the store hosts that store the batches, or all if the voters are
// unknown.
func (l *leadership) voters(stores []*fleet.Host, now time.Time) []*fleet.Host {
	lead := l.storeLeader(now)
	if lead == nil {
		return stores
	}
	return slices.DeleteFunc(stores, func(h *fleet.Host) bool { return !slices.Contains(lead.replica.Voters, h.Disk) })
}

// controlHosts lists the control processes for planning the membership. It runs outside
// the control goroutine.
func (s *Server) controlHosts() []replica.Host {
	out := []replica.Host{{Name: s.cfg.Site.Host, Zone: s.cfg.Site.Zone, Addr: s.cfg.Site.InternalAddr(),
		Disk: s.replica.Disk(), LastContact: time.Now()}}
	s.eachHost("control", func(h *host) {
		out = append(out, replica.Host{Name: h.Name, Zone: h.Zone, Addr: h.Addr, Disk: h.Disk, LastContact: h.lastReport})
	})
	return out
}
