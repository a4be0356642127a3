package admission

import (
	"time"

	"github.com/plantainbank/plantainbank/service/fleet"
)

// The meter covers a span of buckets, somewhat longer than the 0.8 s between two reports. With 1.6 s the
// capacity was lowered again for refusals from before its last change.
const (
	bucketLength = 200 * time.Millisecond
	bucketCount  = 5
	// recentBuckets is the number of complete buckets that tell a host its own demand.
	recentBuckets = 2
)

// maxFlows bounds the flows of a service that are counted; the calls of further ones are not limited.
const maxFlows = 256

type flowCount struct{ begun, refused uint32 }

// bucket holds the counts of one bucketLength.
type bucket struct {
	number                     int64
	flows                      map[Flow]flowCount
	served, failed, full, free uint32
	took                       time.Duration
	// busy is the sum of the used fractions of the slots in loads responses.
	busy  float64
	loads uint32
}

// meter counts what a host sees of one service in a sliding window.
type meter struct {
	started time.Time
	buckets [bucketCount]bucket
}

func bucketNumber(now time.Time) int64 { return now.UnixNano() / int64(bucketLength) }

// at returns the bucket of a time.
func (m *meter) at(now time.Time) *bucket {
	n := bucketNumber(now)
	b := &m.buckets[n%bucketCount]
	if b.number != n {
		*b = bucket{number: n}
	}
	return b
}

func (b *bucket) count(f Flow, refused bool) {
	c, ok := b.flows[f]
	if !ok && len(b.flows) >= maxFlows {
		return
	}
	if b.flows == nil {
		b.flows = map[Flow]flowCount{}
	}
	c.begun++
	if refused {
		c.refused++
	}
	b.flows[f] = c
}

// rate returns the calls per second of a flow in the current bucket and the recentBuckets before.
func (m *meter) rate(f Flow, now time.Time) float64 {
	n := bucketNumber(now)
	begin := time.Unix(0, (n-recentBuckets)*int64(bucketLength))
	if m.started.After(begin) {
		begin = m.started
	}
	calls := uint32(0)
	for i := range m.buckets {
		if b := &m.buckets[i]; b.number >= n-recentBuckets && b.number <= n {
			calls += b.flows[f].begun
		}
	}
	return float64(calls) / max(bucketLength, now.Sub(begin)).Seconds()
}

// load returns the counts of the window.
func (m *meter) load(service string, now time.Time) *fleet.PlainLoad {
	n := bucketNumber(now)
	begin := time.Unix(0, (n-bucketCount+1)*int64(bucketLength))
	if m.started.After(begin) {
		begin = m.started
	}
	out := &fleet.PlainLoad{Service: service, Spanms: uint32(max(bucketLength, now.Sub(begin)).Milliseconds())}
	flows := map[Flow]flowCount{}
	took, busy, loads := time.Duration(0), 0.0, uint32(0)
	for i := range m.buckets {
		b := &m.buckets[i]
		if b.number <= n-bucketCount || b.number > n {
			continue
		}
		for f, c := range b.flows {
			sum := flows[f]
			flows[f] = flowCount{sum.begun + c.begun, sum.refused + c.refused}
		}
		out.Served += b.served
		out.Failed += b.failed
		out.Full += b.full
		out.Free += b.free
		took += b.took
		busy += b.busy
		loads += b.loads
	}
	if out.Served > 0 {
		out.Meanus = uint32((took / time.Duration(out.Served)).Microseconds())
	}
	if loads > 0 {
		out.Busy = uint32(100 * busy / float64(loads))
	}
	for f, c := range flows {
		out.Flows = append(out.Flows, &fleet.PlainFlow{Workspace: f.Workspace, Priority: int32(f.Priority), Begun: c.begun, Refused: c.refused})
	}
	return out
}
