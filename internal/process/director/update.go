package director

import (
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/plantainbank/plantainbank/internal/process/catalog"
	"github.com/plantainbank/plantainbank/internal/process/roster"
	"github.com/plantainbank/plantainbank/pkg/process/clock"
	"github.com/plantainbank/plantainbank/pkg/process/deflate"
	"github.com/plantainbank/plantainbank/pkg/process/settings"
	"github.com/plantainbank/plantainbank/service/fleet"
)

// update is the answer to a report. Its copies are encoded outside the control goroutine, where
// they would delay all other calls.
type update struct {
	news *fleet.News
	// public is the catalog to send as a full copy, nil if none is sent.
	public *catalog.Public
	// instances is the roster to send, or what has changed in it; roster tells which, noCopy if none is
	// sent.
	instances []roster.Instance
	roster    copyKind
	// compressed is true if the host takes compressed copies.
	compressed bool
}

// update returns what a host is missing. A host that only looks for the leader gets no full copies: it
// calls again at once, with the time that a full copy takes.
func (s *Server) update(l *leadership, q *fleet.Report, now time.Time) *update {
	start := time.Now()
	entries := l.entryRanks(now)
	n := &fleet.News{Term: l.term, Catalog: s.catalog.Revision, Lead: storeLeaderAddr(l, now), Entries: uint32(len(entries)),
		Rank: entries[q.Host.Name], Compressed: q.Differences, Clock: clock.Steady().UnixMilli()}
	if q.Role == settings.RoleEntry {
		n.Relays = l.relaysFor(q.Host.Name, now)
		n.Pressures = s.pressures(l, now)
	} else {
		n.Rank = 0
	}
	u := &update{news: n, compressed: q.Differences}
	searching := q.Differences && q.Waitms == 0
	if q.Catalog < s.catalog.Revision {
		s.addCatalog(u, q, searching)
	}
	if s.needsRoster(l, q, now) {
		addRoster(l, u, q, searching)
	}
	if r := s.quarantineRevision(l, q.Role); q.Quarantine < r {
		n.Quarantine, n.Cases = r, s.quarantine.Published(now)
	}
	if r := limitRevision(l, q.Role); q.Limits < r {
		n.Limits, n.Limited = r, l.limits.Limits(now)
	}
	if q.Unmeasured {
		n.EventTimes = l.eventTimes.encode()
	}
	n.Stores = sortedHosts(l.liveHosts(settings.RoleStore, now))
	if q.Role == settings.RoleEntry {
		n.Stores = l.voters(n.Stores, now)
	}
	for _, m := range s.replica.Node().Status().Members {
		n.Controls = append(n.Controls, m.Addr)
	}
	s.cfg.Scope.Timer("update_build").Record(time.Since(start))
	return u
}

func (s *Server) addCatalog(u *update, q *fleet.Report, searching bool) {
	if q.Differences {
		if changes, ok := s.catalog.Since(q.Catalog); ok {
			u.news.Changes = changes
			return
		}
	}
	if !searching {
		public := s.catalog.Public
		u.public = &public
	}
}

func addRoster(l *leadership, u *update, q *fleet.Report, searching bool) {
	routing := q.Role == settings.RoleEntry
	if q.Differences {
		if changed, removed, ok := l.roster.Since(q.Roster, routing); ok {
			u.news.Roster, u.news.Partial, u.news.Removed = l.rosterRevision(q.Role), true, removed
			u.instances, u.roster = changed, partialRoster
			return
		}
	}
	if !searching {
		u.news.Roster, u.instances = l.rosterRevision(q.Role), l.instancesFor(q.Role)
		if u.roster = fullRoster; routing {
			u.roster = routingRoster
		}
	}
}

// encodeUpdate encodes the copies of an update.
func (s *Server) encodeUpdate(u *update) *fleet.News {
	n := u.news
	if u.public != nil {
		n.State = s.copies.get(copyKey{fullCatalog, u.compressed}, n.Catalog, u.public.Encode)
	}
	switch u.roster {
	case noCopy:
	case partialRoster:
		n.Instances = compress(encode(u.instances))
	default:
		n.Instances = s.copies.get(copyKey{u.roster, u.compressed}, n.Roster, func() []byte { return encode(u.instances) })
	}
	size := len(n.State) + len(n.Instances)
	for _, c := range n.Changes {
		size += len(c)
	}
	s.cfg.Scope.Counter("update_bytes").Inc(int64(size))
	return n
}

// copyKind is a kind of copy.
type copyKind int

// Kinds of copies. A routing roster has no weights; a partial roster is encoded for each host.
const (
	noCopy copyKind = iota
	fullCatalog
	fullRoster
	routingRoster
	partialRoster
)

type copyKey struct {
	kind       copyKind
	compressed bool
}

// copyCache holds the latest full copy of each kind, encoded once for all hosts. It is safe for
// concurrent use.
type copyCache struct {
	mu  sync.Mutex
	all map[copyKey]encodedCopy
}

type encodedCopy struct {
	revision uint64
	data     []byte
}

// get returns a full copy of a revision, and encodes it if it is not there yet.
func (c *copyCache) get(key copyKey, revision uint64, encode func() []byte) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	if x, ok := c.all[key]; ok && x.revision == revision {
		return x.data
	}
	data := encode()
	if key.compressed {
		data = compress(data)
	}
	if c.all == nil {
		c.all = map[copyKey]encodedCopy{}
	}
	if c.all[key].revision <= revision {
		c.all[key] = encodedCopy{revision, data}
	}
	return data
}

func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // cannot happen: plain structs always encode
	}
	return data
}

func compress(data []byte) []byte {
	out, err := deflate.Compress(data)
	if err != nil {
		panic(err) // cannot happen: writing to memory does not fail
	}
	return out
}

func sortedHosts(all []*host) []*fleet.Host {
	var out []*fleet.Host
	for _, h := range all {
		out = append(out, h.Host)
	}
	slices.SortFunc(out, func(a, b *fleet.Host) int { return strings.Compare(a.Name, b.Name) })
	return out
}
