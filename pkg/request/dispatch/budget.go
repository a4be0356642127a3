package dispatch

import "sync"

// budgetMost is the number of retries that can be saved up.
const budgetMost = 20

// budget allows retries in proportion to served requests, so that a failing
// pool is not hit by a multiple of its load.
type budget struct {
	mu    sync.Mutex
	ratio float64
	saved float64
}

func newBudget(ratio float64) *budget { return &budget{ratio: ratio, saved: budgetMost} }

// earn notes a served request.
func (b *budget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(budgetMost, b.saved+b.ratio)
}

// spend takes one retry, or returns false if none is left.
func (b *budget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}
