package standin

import (
	"context"
	"time"

	"github.com/plantainbank/plantainbank/pkg/connection/backendserver"
)

// renewInterval is the interval between two renewals.
const renewInterval = 20 * time.Millisecond

// Renew acts as the control leader for table until ctx is done: it periodically grants the
// same shares, ends the suspicion of every suspect server and then calls granted.
func Renew(ctx context.Context, table *backendserver.Table, shares map[string]int, granted func()) {
	table.SetShares(shares, nil)
	go func() {
		tick := time.NewTicker(renewInterval)
		defer tick.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
			decided := map[string]bool{}
			for _, h := range table.Holdings() {
				decided[h.ID] = h.Suspect
			}
			table.SetShares(shares, decided)
			granted()
		}
	}()
}
