package control

import (
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/plantainbank/plantainbank/pkg/process/share"
	pb "github.com/plantainbank/plantainbank/service/control"
)

// poolWorkspace is the key of a workspace's demand in a pool.
type poolWorkspace struct{ pool, workspace string }

// demandWindow sets the weight of a new value in the moving average of the demand to 1/6.
// Without averaging, shares would follow every request, and capacity that moves from one
// host to another is idle until the second host renews its lease.
const demandWindow = 6

// smoothDemand adds the reported demand to the moving average of a host.
func (h *host) smoothDemand(reported []*pb.Demand) {
	current := map[poolWorkspace]float64{}
	for _, d := range reported {
		current[poolWorkspace{d.Pool, d.Workspace}] = float64(d.Amount)
	}
	if h.demand == nil {
		h.demand = current
		return
	}
	for k := range h.demand {
		if h.demand[k] < minDemand && current[k] == 0 {
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

// loadWindow sets the weight of a new value in the moving average of the load to 1/4.
const loadWindow = 4

// smoothLoad adds the reported offered load to the moving average of a host.
func (h *host) smoothLoad(reported []*pb.Load) {
	if h.load == nil {
		h.load = map[string]float64{}
	}
	for _, l := range reported {
		h.load[l.Pool] += (l.Amount - h.load[l.Pool]) / loadWindow
	}
}

// minDemand is the average below which a demand that is no longer reported is removed.
const minDemand = 0.05

// updateTargets computes the target share of every host on every backend server. The limit
// of each pool is split fairly among the workspaces, and each workspace's part among the
// hosts in proportion to its demand there. The limit of each server is then divided in
// proportion to the sums of the hosts, which also include an equal split; see
// equalSplitWeight.
func (l *leadership) updateTargets(weights map[string]float64, now time.Time) {
	pools := map[string][]string{}
	for id, b := range l.backends {
		pools[b.announced.Pool] = append(pools[b.announced.Pool], id)
	}
	for pool, ids := range pools {
		slices.Sort(ids)
		roundingError := map[string]float64{}
		hostWeights := l.hostWeights(pool, l.poolLimit(ids), weights, now)
		for _, id := range ids {
			l.targets[id] = share.Divide(l.backends[id].ramp.Limit, hostWeights, roundingError, func(h string) uint64 {
				return xxh3.HashString(id + "/" + h)
			})
		}
	}
}

func (l *leadership) poolLimit(ids []string) float64 {
	sum := 0
	for _, id := range ids {
		sum += l.backends[id].ramp.Limit
	}
	return float64(sum)
}

// hostWeights returns the weight of each live host in a pool.
func (l *leadership) hostWeights(pool string, capacity float64, weights map[string]float64, now time.Time) []share.HolderWeight {
	demand := map[string]float64{}
	byHost := map[string]map[string]float64{}
	live := 0
	for name, h := range l.hosts {
		if !l.leases.Live(name, now) || h.leaving {
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
	var demands []share.Demand
	for w, amount := range demand {
		demands = append(demands, share.Demand{Party: w, Weight: workspaceWeight(weights, w), Amount: amount})
	}
	fair := share.FairSplit(capacity, demands)
	var hostWeights []share.HolderWeight
	for name, amounts := range byHost {
		weight := equalSplitWeight * max(capacity, 1) / float64(live)
		for w, amount := range amounts {
			if demand[w] > 0 {
				weight += fair[w] * amount / demand[w]
			}
		}
		hostWeights = append(hostWeights, share.HolderWeight{Holder: name, Weight: weight})
	}
	return hostWeights
}

func workspaceWeight(weights map[string]float64, workspace string) float64 {
	if w, ok := weights[workspace]; ok {
		return w
	}
	return 1
}
