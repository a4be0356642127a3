package lease_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/plantainbank/plantainbank/pkg/process/lease"
)

// The holder counts from the time of its request, so its lease expires first.
func Example() {
	requested := time.Unix(100, 0)
	arrived := requested.Add(50 * time.Millisecond)
	table := lease.NewTable[string](3*time.Second, 0)
	table.Grant("host", arrived)
	var holder lease.Holder
	holder.Extend(requested, table.Duration)
	end := requested.Add(3 * time.Second)
	fmt.Println("holder:", holder.Valid(end), "granter:", table.Live("host", end))
	// Output: holder: false granter: true
}

// TestHolderStopsBeforeTheGranter delays requests and answers by growing amounts. At no
// time is the lease valid at the holder and expired at the granter.
func TestHolderStopsBeforeTheGranter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := lease.NewTable[string](3*time.Second, 200*time.Millisecond)
		var holder lease.Holder
		for delay := time.Duration(0); delay < 4*time.Second; delay += 170 * time.Millisecond {
			sent := time.Now()
			time.Sleep(delay / 3)
			table.Grant("h", time.Now())
			time.Sleep(delay)
			holder.Extend(sent, table.Duration)
			for range 100 {
				if now := time.Now(); holder.Valid(now) && !table.Live("h", now) {
					t.Fatalf("delay %s: the lease is valid at the holder but expired at the granter", delay)
				}
				time.Sleep(50 * time.Millisecond)
			}
		}
		if gone := table.Expire(time.Now()); len(gone) != 1 || table.Len() != 0 {
			t.Fatalf("expired %v with %d leases left, want one expired and none left", gone, table.Len())
		}
	})
}

func TestLateGrantNeverShortens(t *testing.T) {
	var h lease.Holder
	now := time.Unix(100, 0)
	h.Extend(now, 3*time.Second)
	h.Extend(now.Add(-time.Second), 3*time.Second)
	if !h.Until.Equal(now.Add(3 * time.Second)) {
		t.Fatalf("lease until %v, want the end of the first grant", h.Until)
	}
}
