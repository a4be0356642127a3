package admission

import (
	"cmp"
	"slices"
)

// Flow identifies the calls of one workspace at one priority.
type Flow struct {
	Workspace string
	// Priority is lower for more urgent calls.
	Priority int
}

func compareFlows(a, b Flow) int {
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Workspace, b.Workspace))
}

// Share is the part of a capacity that a flow gets, both in calls per second.
type Share struct {
	Flow
	Demand, Rate float64
}

// Divide divides a capacity. More urgent flows are served first. Flows of one priority get equal
// rates; what a flow does not ask for is divided among the others.
func Divide(capacity float64, demand map[Flow]float64) []Share {
	shares := make([]Share, 0, len(demand))
	for f, d := range demand {
		shares = append(shares, Share{Flow: f, Demand: d})
	}
	slices.SortFunc(shares, func(a, b Share) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Demand, b.Demand), compareFlows(a.Flow, b.Flow))
	})
	for first := 0; first < len(shares); {
		end := first
		for end < len(shares) && shares[end].Priority == shares[first].Priority {
			end++
		}
		for i := first; i < end; i++ {
			shares[i].Rate = min(shares[i].Demand, capacity/float64(end-i))
			capacity -= shares[i].Rate
		}
		first = end
	}
	return shares
}
