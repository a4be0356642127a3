package store

import (
	"cmp"
	"slices"
	"time"

	"github.com/plantainbank/plantainbank/internal/connection/departure"
	"github.com/plantainbank/plantainbank/service/fleet"
)

// maxReportedTimes is the number of engines whose event time is in one report to control: 2 KB each 0.8 s.
// With more engines, the reports take turns.
const maxReportedTimes = 64

// eventTimeReport selects the event times for the reports to control.
type eventTimeReport struct {
	// last is the ID of the engine that was reported last.
	last string
}

// next returns the event times of the engines that follow the last one.
func (r *eventTimeReport) next(known map[departure.Incarnation]time.Duration) []*fleet.EventTime {
	var all []*fleet.EventTime
	for x, v := range known {
		all = append(all, &fleet.EventTime{Instance: x.ID, Born: x.Born, Micros: uint32(v / time.Microsecond)})
	}
	slices.SortFunc(all, func(a, b *fleet.EventTime) int { return cmp.Compare(a.Instance, b.Instance) })
	first, _ := slices.BinarySearchFunc(all, r.last, func(e *fleet.EventTime, id string) int { return cmp.Compare(e.Instance, id) })
	if first < len(all) && all[first].Instance == r.last {
		first++
	}
	all = append(all[first:], all[:first]...)
	all = all[:min(len(all), maxReportedTimes)]
	if len(all) > 0 {
		r.last = all[len(all)-1].Instance
	}
	return all
}

// fillEventTimes adds the event times that this leader has measured to a report, or asks for those of the
// leader before.
func (d *driver) fillEventTimes(q *fleet.Report) {
	if !d.table.ByEventTime {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	q.Unmeasured = d.term != 0 && !d.measured
	q.Replica.EventTimes = d.reported.next(d.table.EventTimes())
}

// setEventTimes takes over the event times that the leader before has measured.
func (d *driver) setEventTimes(all []*fleet.EventTime) {
	known := map[departure.Incarnation]time.Duration{}
	for _, e := range all {
		known[departure.Incarnation{ID: e.Instance, Born: e.Born}] = time.Duration(e.Micros) * time.Microsecond
	}
	d.mu.Lock()
	d.measured = true
	d.mu.Unlock()
	d.table.SetEventTimes(known)
	d.s.log.WithField("engines", len(known)).Info("took over the event times of engines")
	d.wakeUp()
}
