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
	lastHeard time.Time
	ramp      *ramp.Ramp
	// counts are the outcomes at this incarnation; the ramp must not take what
	// a former one has proven.
	counts ramp.Counts
	// suspects holds, for each host whose connection broke, the announcement
	// after which the server is known to live on.
	suspectUntilSeq map[string]uint64
	// swap is set while an order to load weights is under way.
	swap weightSwap
}

// resource names what is divided: one start of a server. Shares of an earlier
// start are worth nothing at the next one, which refuses what is meant for its
// predecessor.
func (b *backend) resource() string { return resourceName(b.announced.Id, b.announced.Incarnation) }

func resourceName(id string, incarnation uint64) string { return fmt.Sprintf("%s@%d", id, incarnation) }

// announce takes in an announcement that an entry host passes on.
func (l *leadership) applyAnnouncement(a *pb.Announcement, now time.Time) {
	b := l.backends[a.Id]
	if b != nil && (a.Incarnation < b.announced.Incarnation ||
		a.Incarnation == b.announced.Incarnation && a.Seq <= b.announced.Seq) {
		return
	}
	if b == nil {
		b = &backend{ramp: ramp.New(a.Incarnation, int(a.Bears)), suspectUntilSeq: map[string]uint64{}}
		l.backends[a.Id] = b
		l.tableVersion++
	} else if tableEntryDiffers(b.announced, a) {
		l.tableVersion++
	}
	if b.announced != nil && a.Incarnation != b.announced.Incarnation {
		clear(b.suspectUntilSeq) // the new limit holds for the new incarnation
		b.counts = ramp.Counts{}
		l.shares.SetLimit(b.resource(), 0)
		l.shares.Remove(b.resource())
	}
	b.ramp.Announce(a.Incarnation, int(a.Bears))
	b.announced = a
	b.lastHeard = now
	l.shares.SetLimit(b.resource(), b.ramp.Limit)
}

// tableDiffers reports whether entry hosts must hear of the change.
func tableEntryDiffers(a, b *pb.Announcement) bool {
	return a.Incarnation != b.Incarnation || a.Leaving != b.Leaving || a.Addr != b.Addr || a.Zone != b.Zone ||
		a.Pool != b.Pool || a.Class != b.Class || fmt.Sprint(a.Versions) != fmt.Sprint(b.Versions)
}

// suspectSeqs is the number of announcements that clear a suspicion. The first
// one may have been on its way when the connection broke.
const suspectAnnouncements = 2

// suspect notes the servers that a host lost a connection to.
func (l *leadership) recordSuspects(host string, holdings []*pb.Holding) {
	for _, h := range holdings {
		b := l.backends[h.Backend]
		if !h.Suspect || b == nil || b.announced.Incarnation != h.Incarnation {
			continue
		}
		if _, ok := b.suspectUntilSeq[host]; !ok {
			b.suspectUntilSeq[host] = b.announced.Seq + suspectAnnouncements
		}
	}
}

// suspected reports whether a host must not use a server yet.
func (b *backend) isSuspect(host string) bool {
	seq, ok := b.suspectUntilSeq[host]
	if ok && b.announced.Seq >= seq {
		delete(b.suspectUntilSeq, host)
		return false
	}
	return ok
}

// observe adds the outcomes that a host counted since its last report.
func (l *leadership) observeOutcomes(h *host, outcomes []*pb.Outcome) {
	for _, o := range outcomes {
		latest := ramp.Counts{Served: o.Served, Refused: o.Refused, Failed: o.Failed}
		before, known := h.outcomes[o.Backend]
		h.outcomes[o.Backend] = latest
		b := l.backends[o.Backend]
		if b == nil || !known || b.announced.Incarnation != o.Incarnation || latest.Served < before.Served {
			continue
		}
		b.counts.Served += latest.Served - before.Served
		b.counts.Refused += latest.Refused - before.Refused
		b.counts.Failed += latest.Failed - before.Failed
		if b.ramp.Observe(b.counts) {
			l.shares.SetLimit(b.resource(), b.ramp.Limit)
			l.tableVersion++
		}
	}
}

// adopt takes over the limits that a host knows from an earlier leader.
func (l *leadership) adoptLimits(holdings []*pb.Holding, now time.Time) {
	if l.oldLeasesExpired(now) {
		return
	}
	for _, h := range holdings {
		b := l.backends[h.Backend]
		if b == nil || b.announced.Incarnation != h.Incarnation {
			continue
		}
		b.ramp.Adopt(int(h.Limit))
		l.shares.SetLimit(b.resource(), b.ramp.Limit)
	}
}
