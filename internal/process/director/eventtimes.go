package director

import (
	"slices"
	"time"

	"github.com/plantainbank/plantainbank/internal/process/roster"
	"github.com/plantainbank/plantainbank/service/fleet"
)

// eventTimes holds the time that engines take for an event of a stream, as the leader of the store group has
// measured it. It outlives that leader: the next one begins with it.
type eventTimes map[instanceKey]time.Duration

// add takes over what the leader of the store group has reported.
func (x eventTimes) add(all []*fleet.EventTime) {
	for _, e := range all {
		if e.Micros > 0 {
			x[instanceKey{e.Instance, e.Born}] = time.Duration(e.Micros) * time.Microsecond
		}
	}
}

// retain drops the engines that are not in the list.
func (x eventTimes) retain(live []roster.Instance) {
	keep := map[instanceKey]bool{}
	for _, e := range live {
		keep[instanceKey{e.ID, e.Born}] = true
	}
	for k := range x {
		if !keep[k] {
			delete(x, k)
		}
	}
}

// encode returns the event times for a host.
func (x eventTimes) encode() []*fleet.EventTime {
	var out []*fleet.EventTime
	for k, v := range x {
		out = append(out, &fleet.EventTime{Instance: k.id, Born: k.born, Micros: uint32(v / time.Microsecond)})
	}
	return out
}

// speeds returns the work that engines do in a second relative to the median engine, by instance ID.
func (x eventTimes) speeds() map[string]float64 {
	if len(x) == 0 {
		return nil
	}
	all := make([]time.Duration, 0, len(x))
	for _, v := range x {
		all = append(all, v)
	}
	slices.Sort(all)
	median := all[len(all)/2]
	out := map[string]float64{}
	for k, v := range x {
		out[k.id] = float64(median) / float64(v)
	}
	return out
}
