package admission

import "sync"

// Copies is a host's budget of second copies of calls: a part of its calls, so that all hosts together
// send no more than that part. A nil Copies allows none. It is safe for concurrent use.
type Copies struct {
	part   float64
	mu     sync.Mutex
	credit float64
}

// maxCopyCredit bounds the copies that are sent one after another.
const maxCopyCredit = 2

// NewCopies returns a budget, or nil if part is zero. random is a number from 0 to 1: hosts that get a
// call every few seconds would otherwise all send their first copy after the same number of calls.
func NewCopies(part, random float64) *Copies {
	if part <= 0 {
		return nil
	}
	return &Copies{part: part, credit: random}
}

// Began adds a call.
func (c *Copies) Began() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.credit = min(maxCopyCredit, c.credit+c.part)
}

// Take takes a copy from the budget.
func (c *Copies) Take() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.credit < 1 {
		return false
	}
	c.credit--
	return true
}
