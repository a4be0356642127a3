package control

import (
	"fmt"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/plantainbank/plantainbank/pkg/process/lease"
	"github.com/plantainbank/plantainbank/pkg/process/ledger"
	"github.com/plantainbank/plantainbank/pkg/process/ramp"
	"github.com/plantainbank/plantainbank/pkg/process/share"
	pb "github.com/plantainbank/plantainbank/service/control"
)

// Periods of a reign.
const (
	// grantAllowance covers clock drift between an entry host and the leader.
	grantAllowance = 200 * time.Millisecond
	// backendTTL ends a backend server that no longer announces itself.
	backendTTL = 4 * time.Second
	// idleWeight is the part of the shares that is split without regard to
	// demand, so that a host without demand can start at once.
	idleWeight = 0.3
)

// reign is what a leader knows in one term beyond the ledger: leases, backend
// servers, shares and claims. Entry hosts report enough to rebuild it.
type reign struct {
	term uint64
	// since is the start of the reign.
	since  time.Time
	leases *lease.Table[string]
	hosts  map[string]*host
	shares *share.Allocator
	// table counts the changes of backends. It starts above the numbers of
	// earlier reigns.
	table    uint64
	backends map[string]*backend
	// targets holds the wanted share by backend server and host.
	targets map[string]map[string]int
	claims  map[claimKey]*claim
	// usage holds the latest counters of every incarnation of a host.
	usage map[string]map[string]ledger.Counters
	// turn rotates the rollout that is served first.
	turn int
}

// host is an entry host with a lease.
type host struct {
	name        string
	incarnation uint64
	zone        string
	// seq is the number of the latest renewal; older ones are ignored.
	seq      uint64
	revision uint64
	// demand is the moving average by pool and workspace.
	demand   map[poolWorkspace]float64
	usage    map[string]ledger.Counters
	outcomes map[string]ramp.Counts
	leaving  bool
}

// poolWorkspace names a workspace's demand in a pool.
type poolWorkspace struct{ pool, workspace string }

// demandWindow is the weight of history in the moving average of the demand.
// Without it, shares would follow every request, and a slot that moves between
// two hosts is idle until the second one renews.
const demandWindow = 6

// smooth takes in a host's demand.
func (h *host) smooth(now []*pb.Demand) {
	current := map[poolWorkspace]float64{}
	for _, d := range now {
		current[poolWorkspace{d.Pool, d.Workspace}] = float64(d.Amount)
	}
	if h.demand == nil {
		h.demand = current
		return
	}
	for k := range h.demand {
		if h.demand[k] < demandLeast && current[k] == 0 {
			delete(h.demand, k)
			continue
		}
		h.demand[k] += (current[k] - h.demand[k]) / demandWindow
	}
	for k, amount := range current {
		if _, ok := h.demand[k]; !ok {
			h.demand[k] = amount
		}
	}
}

// demandLeast is the average below which a demand counts as none.
const demandLeast = 0.05

// backend is a backend server that announces itself.
type backend struct {
	announced *pb.Announcement
	heard     time.Time
	ramp      *ramp.Ramp
	counts    ramp.Counts
	// suspects holds, for each host whose connection broke, the announcement
	// after which the server is known to live on.
	suspects map[string]uint64
	// swap is set while an order to load weights is under way.
	swap swap
}

func newReign(term uint64, now time.Time, grant time.Duration) *reign {
	return &reign{
		term: term, since: now, table: term << 32,
		leases:   lease.NewTable[string](grant, grantAllowance),
		hosts:    map[string]*host{},
		shares:   share.NewAllocator(),
		backends: map[string]*backend{},
		targets:  map[string]map[string]int{},
		claims:   map[claimKey]*claim{},
		usage:    map[string]map[string]ledger.Counters{},
	}
}

// settled reports whether every lease of an earlier leader has ended, so that
// hosts which have not reported hold nothing.
func (r *reign) settled(now time.Time) bool {
	return now.Sub(r.since) > r.leases.Period+r.leases.Allowance
}

// expire drops the hosts whose lease has ended and the backend servers that
// fell silent. It returns whether anything changed.
func (r *reign) expire(now time.Time) bool {
	changed := false
	for _, name := range r.leases.Expire(now) {
		r.shares.Drop(name)
		r.releaseClaims(name)
		changed = true
	}
	for id, b := range r.backends {
		if now.Sub(b.heard) <= backendTTL {
			continue
		}
		r.shares.SetLimit(id, 0)
		if r.shares.Remove(id) {
			delete(r.backends, id)
			r.table++
			changed = true
		}
	}
	return changed
}

// announce takes in a backend server's word, passed on by an entry host.
func (r *reign) announce(a *pb.Announcement, now time.Time) {
	b := r.backends[a.Id]
	if b != nil && (a.Incarnation < b.announced.Incarnation ||
		a.Incarnation == b.announced.Incarnation && a.Seq <= b.announced.Seq) {
		return
	}
	if b == nil {
		b = &backend{ramp: ramp.New(a.Incarnation, int(a.Bears)), suspects: map[string]uint64{}}
		r.backends[a.Id] = b
		r.table++
	} else if tableDiffers(b.announced, a) {
		r.table++
	}
	if b.announced != nil && a.Incarnation != b.announced.Incarnation {
		clear(b.suspects) // the new limit holds for the new incarnation
	}
	b.ramp.Announce(a.Incarnation, int(a.Bears))
	b.announced = a
	b.heard = now
	r.shares.SetLimit(a.Id, b.ramp.Limit)
}

// tableDiffers reports whether entry hosts must hear of the change.
func tableDiffers(a, b *pb.Announcement) bool {
	return a.Incarnation != b.Incarnation || a.Leaving != b.Leaving || a.Addr != b.Addr || a.Zone != b.Zone ||
		a.Pool != b.Pool || a.Class != b.Class || fmt.Sprint(a.Versions) != fmt.Sprint(b.Versions)
}

// suspectSeqs is the number of announcements that clear a suspicion. The first
// one may have been on its way when the connection broke.
const suspectSeqs = 2

// suspect notes the servers that a host lost a connection to.
func (r *reign) suspect(host string, holdings []*pb.Holding) {
	for _, h := range holdings {
		b := r.backends[h.Backend]
		if !h.Suspect || b == nil || b.announced.Incarnation != h.Incarnation {
			continue
		}
		if _, ok := b.suspects[host]; !ok {
			b.suspects[host] = b.announced.Seq + suspectSeqs
		}
	}
}

// suspected reports whether a host must not use a server yet.
func (b *backend) suspected(host string) bool {
	seq, ok := b.suspects[host]
	if ok && b.announced.Seq >= seq {
		delete(b.suspects, host)
		return false
	}
	return ok
}

// observe adds the outcomes that a host counted since its last report.
func (r *reign) observe(h *host, outcomes []*pb.Outcome) {
	for _, o := range outcomes {
		now := ramp.Counts{Served: o.Served, Refused: o.Refused, Failed: o.Failed}
		before, known := h.outcomes[o.Backend]
		h.outcomes[o.Backend] = now
		b := r.backends[o.Backend]
		if b == nil || !known || b.announced.Incarnation != o.Incarnation || now.Served < before.Served {
			continue
		}
		b.counts.Served += now.Served - before.Served
		b.counts.Refused += now.Refused - before.Refused
		b.counts.Failed += now.Failed - before.Failed
		if b.ramp.Observe(b.counts) {
			r.shares.SetLimit(o.Backend, b.ramp.Limit)
			r.table++
		}
	}
}

// adopt takes over the limits that a host knows from an earlier leader.
func (r *reign) adopt(holdings []*pb.Holding, now time.Time) {
	if r.settled(now) {
		return
	}
	for _, h := range holdings {
		b := r.backends[h.Backend]
		if b == nil || b.announced.Incarnation != h.Incarnation {
			continue
		}
		b.ramp.Adopt(int(h.Limit))
		r.shares.SetLimit(h.Backend, b.ramp.Limit)
	}
}

// retarget computes the wanted share of every host at every backend server:
// workspaces get their fair part of each pool, and hosts get what their
// workspaces' parts add up to.
func (r *reign) retarget(weights map[string]float64, now time.Time) {
	pools := map[string][]string{}
	for id, b := range r.backends {
		pools[b.announced.Pool] = append(pools[b.announced.Pool], id)
	}
	for pool, ids := range pools {
		slices.Sort(ids)
		owed := map[string]float64{}
		claims := r.hostClaims(pool, r.capacity(ids), weights, now)
		for _, id := range ids {
			r.targets[id] = share.Divide(r.backends[id].ramp.Limit, claims, owed, func(h string) uint64 {
				return xxh3.HashString(id + "/" + h)
			})
		}
	}
}

func (r *reign) capacity(ids []string) float64 {
	sum := 0
	for _, id := range ids {
		sum += r.backends[id].ramp.Limit
	}
	return float64(sum)
}

// hostClaims returns each live host's weight in a pool.
func (r *reign) hostClaims(pool string, capacity float64, weights map[string]float64, now time.Time) []share.Claim {
	demand := map[string]float64{}
	byHost := map[string]map[string]float64{}
	live := 0
	for name, h := range r.hosts {
		if !r.leases.Live(name, now) || h.leaving {
			continue
		}
		live++
		byHost[name] = map[string]float64{}
		for k, amount := range h.demand {
			if k.pool == pool {
				demand[k.workspace] += amount
				byHost[name][k.workspace] = amount
			}
		}
	}
	var wants []share.Want
	for w, amount := range demand {
		wants = append(wants, share.Want{Party: w, Weight: weightOf(weights, w), Amount: amount})
	}
	fair := share.FairSplit(capacity, wants)
	var claims []share.Claim
	for name, amounts := range byHost {
		weight := idleWeight * max(capacity, 1) / float64(live)
		for w, amount := range amounts {
			if demand[w] > 0 {
				weight += fair[w] * amount / demand[w]
			}
		}
		claims = append(claims, share.Claim{Holder: name, Weight: weight})
	}
	return claims
}

func weightOf(weights map[string]float64, workspace string) float64 {
	if w, ok := weights[workspace]; ok {
		return w
	}
	return 1
}

// maintainReign runs the periodic work of a leader on the control goroutine.
func (s *Server) maintainReign() {
	r := s.reign
	if r == nil {
		return
	}
	now := time.Now()
	before := r.table
	if r.expire(now) || r.table != before {
		s.notify()
	}
	r.retarget(s.decoded().weights, now)
	s.scope.Gauge("entry_hosts").Update(float64(r.leases.Len()))
	s.scope.Gauge("backend_servers").Update(float64(len(r.backends)))
}
