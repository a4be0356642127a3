package control

import (
	"fmt"
	"time"

	"github.com/plantainbank/plantainbank/pkg/process/ramp"
	pb "github.com/plantainbank/plantainbank/service/control"
)

// backend is a backend server that announces itself.
type backend struct {
	announced *pb.Announcement
	heard     time.Time
	ramp      *ramp.Ramp
	// counts are the outcomes at this incarnation; the ramp must not take what
	// a former one has proven.
	counts ramp.Counts
	// suspects holds, for each host whose connection broke, the announcement
	// after which the server is known to live on.
	suspects map[string]uint64
	// swap is set while an order to load weights is under way.
	swap swap
}

// resource names what is divided: one start of a server. Shares of an earlier
// start are worth nothing at the next one, which refuses what is meant for its
// predecessor.
func (b *backend) resource() string { return resourceName(b.announced.Id, b.announced.Incarnation) }

func resourceName(id string, incarnation uint64) string { return fmt.Sprintf("%s@%d", id, incarnation) }

// announce takes in an announcement that an entry host passes on.
func (r *leadership) announce(a *pb.Announcement, now time.Time) {
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
		b.counts = ramp.Counts{}
		r.shares.SetLimit(b.resource(), 0)
		r.shares.Remove(b.resource())
	}
	b.ramp.Announce(a.Incarnation, int(a.Bears))
	b.announced = a
	b.heard = now
	r.shares.SetLimit(b.resource(), b.ramp.Limit)
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
func (r *leadership) suspect(host string, holdings []*pb.Holding) {
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
func (r *leadership) observe(h *host, outcomes []*pb.Outcome) {
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
			r.shares.SetLimit(b.resource(), b.ramp.Limit)
			r.table++
		}
	}
}

// adopt takes over the limits that a host knows from an earlier leader.
func (r *leadership) adopt(holdings []*pb.Holding, now time.Time) {
	if r.settled(now) {
		return
	}
	for _, h := range holdings {
		b := r.backends[h.Backend]
		if b == nil || b.announced.Incarnation != h.Incarnation {
			continue
		}
		b.ramp.Adopt(int(h.Limit))
		r.shares.SetLimit(b.resource(), b.ramp.Limit)
	}
}
