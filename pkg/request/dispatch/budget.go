package dispatch

import "sync"

// budgetMost is the number of retries that can be saved up.
const maxBalance = 20

// budget allows retries in proportion to served requests, so that a failing
// pool is not hit by a multiple of its load.
type budget struct {
	mu      sync.Mutex
	ratio   float64
	balance float64
}

func newBudget(ratio float64) *budget { return &budget{ratio: ratio, balance: maxBalance} }

// earn notes a served request.
func (b *budget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(maxBalance, b.balance+b.ratio)
}

// spend takes one retry, or returns false if none is left.
func (b *budget) tryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
