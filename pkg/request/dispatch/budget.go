package dispatch

import "sync"

// maxBalance is the maximum number of retries that can accumulate.
const maxBalance = 20

// budget limits retries to a fraction of the served requests, so that retries do
// not multiply the load of a failing pool.
type budget struct {
	mu      sync.Mutex
	ratio   float64
	balance float64
}

func newBudget(ratio float64) *budget { return &budget{ratio: ratio, balance: maxBalance} }

// deposit credits the budget for a served request.
func (b *budget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(maxBalance, b.balance+b.ratio)
}

// tryWithdraw takes one retry, or returns false if the budget is exhausted.
func (b *budget) tryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
