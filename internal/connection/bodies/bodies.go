// Package bodies decides which request bodies and answers a process may hold. One account counts the
// bytes of all of them; docs/design/bodies.md has the reasons. The package does no I/O: callers
// tell it what arrives, and end the transfers that it names.
package bodies

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Quantum is the number of bytes that a transfer must move within Patience to count as moving.
const Quantum = 64 << 10

// Patience is how long a transfer may take for Quantum bytes before it may be ended in favor of another.
const Patience = time.Second

// FullError reports that a transfer was refused: the account has no room and no transfer is slow
// enough to be ended.
type FullError struct{ Want, Used, Size int64 }

func (e *FullError) Error() string {
	return fmt.Sprintf("%d bytes wanted, %d of %d in use", e.Want, e.Used, e.Size)
}

// Account counts the bytes of bodies and answers that a process holds. It is safe for concurrent use.
type Account struct {
	size int64

	mu        sync.Mutex
	used      int64
	transfers map[*Transfer]bool
}

// Transfer is one body that arrives or one answer that is sent.
type Transfer struct {
	// End is called, without a lock, when the transfer has been ended in favor of another. It must
	// not wait.
	End func()

	bytes int64
	// moving is true until all bytes have arrived or were sent. ended is true once another transfer
	// has taken its place.
	moving, ended bool
	// since is when the current quantum began, moved how many of its bytes have moved.
	since time.Time
	moved int
}

// New returns an account of size bytes.
func New(size int64) *Account {
	return &Account{size: size, transfers: map[*Transfer]bool{}}
}

// Begin adds a transfer that holds no bytes yet.
func (a *Account) Begin(end func(), now time.Time) *Transfer {
	t := &Transfer{End: end, moving: true, since: now}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.transfers[t] = true
	return t
}

// Reserve adds n bytes to a transfer before they are held. If the account is full, it first ends other
// transfers that move too slowly, the slowest first. If that does not make enough room, it
// ends none and returns a *FullError. The only transfer that holds bytes is never refused.
func (a *Account) Reserve(t *Transfer, n int64, now time.Time) error {
	a.mu.Lock()
	victims, err := a.reserve(t, n, now.Add(-Patience))
	a.mu.Unlock()
	endAll(victims)
	return err
}

// Send adds an answer of n bytes, which are held already. If the account is then over its size, it ends the answers and
// bodies that have moved least recently until it is not, even those that are not slow. The result may be among them.
func (a *Account) Send(n int64, end func(), now time.Time) *Transfer {
	t := a.Begin(end, now)
	a.mu.Lock()
	t.bytes = n
	a.used += n
	var victims []*Transfer
	for _, v := range a.slowest(now) {
		if a.used <= a.size || a.used == v.bytes {
			break
		}
		a.end(v)
		victims = append(victims, v)
	}
	a.mu.Unlock()
	endAll(victims)
	return t
}

func endAll(victims []*Transfer) {
	for _, v := range victims {
		if v.End != nil {
			v.End()
		}
	}
}

func (a *Account) reserve(t *Transfer, n int64, before time.Time) ([]*Transfer, error) {
	if t.ended {
		return nil, &FullError{n, a.used, a.size}
	}
	lacking := a.used + n - a.size
	var victims []*Transfer
	if lacking > 0 && a.used > t.bytes {
		for _, v := range a.slowest(before) {
			if v != t {
				victims = append(victims, v)
				lacking -= v.bytes
			}
			if lacking <= 0 {
				break
			}
		}
		if freed := sum(victims); lacking > 0 && a.used-freed > t.bytes {
			return nil, &FullError{n, a.used, a.size}
		}
	}
	for _, v := range victims {
		a.end(v)
	}
	t.bytes += n
	a.used += n
	return victims, nil
}

func sum(all []*Transfer) (n int64) {
	for _, t := range all {
		n += t.bytes
	}
	return n
}

// slowest returns the moving transfers that hold bytes and whose quantum began at or before a time, the
// earliest first.
func (a *Account) slowest(before time.Time) []*Transfer {
	var out []*Transfer
	for t := range a.transfers {
		if t.moving && t.bytes > 0 && !t.since.After(before) {
			out = append(out, t)
		}
	}
	slices.SortFunc(out, func(x, y *Transfer) int { return x.since.Compare(y.since) })
	return out
}

// end takes the bytes of a transfer out of the account.
func (a *Account) end(t *Transfer) {
	a.used -= t.bytes
	t.bytes, t.ended, t.moving = 0, true, false
	delete(a.transfers, t)
}

// Moved records that n bytes of a transfer have arrived or were sent.
func (a *Account) Moved(t *Transfer, n int, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if t.moved += n; t.moved >= Quantum {
		t.moved, t.since = 0, now
	}
}

// Shrink gives back n bytes of a transfer.
func (a *Account) Shrink(t *Transfer, n int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !t.ended {
		t.bytes -= n
		a.used -= n
	}
}

// Arrived records that a body is complete. It can then no longer be ended. It returns false if it has
// been ended before.
func (a *Account) Arrived(t *Transfer) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	t.moving = false
	return !t.ended
}

// Release gives back all bytes of a transfer, which must not be used any more.
func (a *Account) Release(t *Transfer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !t.ended {
		a.end(t)
	}
}

// Size returns the size of the account.
func (a *Account) Size() int64 { return a.size }

// Used returns the number of bytes in use.
func (a *Account) Used() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.used
}
