package control

import (
	"fmt"
	"time"

	"github.com/plantainbank/plantainbank/pkg/process/ramp"
	pb "github.com/plantainbank/plantainbank/service/control"
)

// backend is a backend server, known from its announcements.
type backend struct {
	announced        *pb.Announcement
	lastAnnouncement time.Time
	ramp             *ramp.Ramp
	// counts contains the outcomes of the current incarnation only: results of an earlier
	// one must not raise the limit of the ramp.
	counts ramp.Counts
	// suspectUntilSeq contains, for each host that lost a connection to the server, the
	// sequence number of the announcement that proves that the server is still running.
	suspectUntilSeq map[string]uint64
	// swap is the order to load weights that is in progress. After a failed order, only
	// its field until is set, which delays the next order.
	swap weightSwap
}

// resource returns the name of the server in the share allocator. It contains the
// incarnation, because shares of an earlier incarnation are not valid: a restarted server
// refuses requests that are addressed to its previous incarnation.
func (b *backend) resource() string { return resourceName(b.announced.Id, b.announced.Incarnation) }

func resourceName(id string, incarnation uint64) string { return fmt.Sprintf("%s@%d", id, incarnation) }

// applyAnnouncement applies an announcement that an entry host relayed. Outdated ones are
// ignored.
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
		clear(b.suspectUntilSeq) // the new incarnation starts with a limit of its own
		b.counts = ramp.Counts{}
		l.shares.SetLimit(b.resource(), 0)
		l.shares.Remove(b.resource())
	}
	b.ramp.Announce(a.Incarnation, int(a.Bears))
	b.announced = a
	b.lastAnnouncement = now
	l.shares.SetLimit(b.resource(), b.ramp.Limit)
}

// tableEntryDiffers reports whether a and b differ in a field that entry hosts use.
func tableEntryDiffers(a, b *pb.Announcement) bool {
	return a.Incarnation != b.Incarnation || a.Leaving != b.Leaving || a.Addr != b.Addr || a.Zone != b.Zone ||
		a.Pool != b.Pool || a.Class != b.Class || fmt.Sprint(a.Versions) != fmt.Sprint(b.Versions)
}

// suspectAnnouncements is the number of announcements after which a suspect server counts
// as running. The first one may have been sent before the connection was lost.
const suspectAnnouncements = 2

// recordSuspects records the servers to which a host lost a connection.
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

// isSuspect reports whether a host must not use the server yet. It removes a suspicion that
// later announcements have cleared.
func (b *backend) isSuspect(host string) bool {
	seq, ok := b.suspectUntilSeq[host]
	if ok && b.announced.Seq >= seq {
		delete(b.suspectUntilSeq, host)
		return false
	}
	return ok
}

// observeOutcomes passes the outcomes that a host has counted since its previous report to
// the ramps of the servers.
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

// adoptLimits adopts the limits that a host received from an earlier leader, until the
// leases granted by earlier leaders have ended.
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
