package gateway

import (
	"maps"
	"sync"
	"time"

	"github.com/plantainbank/plantainbank/service/fleet"
)

// windowsReported is how many of the latest windows each report repeats, so that a new
// leader also gets the counts that were reported to the previous one.
const windowsReported = 6

// usage counts the requests that started, by window of the wall clock.
type usage struct {
	length  time.Duration
	mu      sync.Mutex
	windows map[uint64]map[string]uint64
}

func newUsage(length time.Duration) *usage {
	return &usage{length: length, windows: map[uint64]map[string]uint64{}}
}

// add counts one request. Requests without a workspace are not counted, since usage is
// charged by workspace.
func (u *usage) add(workspace string, now time.Time) {
	if workspace == "" {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	n := uint64(now.UnixNano() / int64(u.length))
	if u.windows[n] == nil {
		u.windows[n] = map[string]uint64{}
		delete(u.windows, n-windowsReported)
	}
	u.windows[n][workspace]++
}

// report returns the counts of the latest windows.
func (u *usage) report() []*fleet.Window {
	u.mu.Lock()
	defer u.mu.Unlock()
	newest := uint64(0)
	for n := range u.windows {
		newest = max(newest, n)
	}
	var out []*fleet.Window
	for n, counts := range u.windows {
		if n+windowsReported <= newest {
			delete(u.windows, n)
			continue
		}
		out = append(out, &fleet.Window{Number: n, Counts: maps.Clone(counts)})
	}
	return out
}
