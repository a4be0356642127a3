package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/plantainbank/plantainbank/internal/connection/placement"
	"github.com/plantainbank/plantainbank/pkg/request/attempt"
)

const (
	// copyAfter is the time after which a second copy is sent, as a multiple of the usual time of a call
	// of the service. If times are spread exponentially, one in twenty calls takes longer.
	copyAfter = 3
	// minCopyAfter is the least such time.
	minCopyAfter = 20 * time.Millisecond
)

// exchange is an attempt that was sent, and its end.
type exchange struct {
	slot   placement.Slot
	cancel context.CancelFunc
	got    *attempt.Response
	err    error
}

// served reports whether the response ends the request.
func (f *Forwarder) served(x *exchange) bool {
	return x.err == nil && !isRefusal(x.got.Response, f.cfg.Headers) && x.got.Response.StatusCode() < http.StatusInternalServerError
}

// copyDelay returns the time after which a second copy of the request may be sent. ok is false if none may
// be.
func (f *Forwarder) copyDelay(s *requestState) (d time.Duration, ok bool) {
	if f.cfg.Copies == nil || !s.plain() || !s.Idempotent() || s.trial() || s.sent+s.refused > 0 || s.Route.MaxAttempts < 2 {
		return 0, false
	}
	f.cfg.Copies.Began()
	usual := f.cfg.Table.UsualTime(s.Service)
	return max(minCopyAfter, copyAfter*usual), usual > 0
}

// tryCopied sends the request to the server of a slot and, if that takes long, to a second one. The first
// answer is returned, and the other attempt is canceled.
func (f *Forwarder) tryCopied(ctx context.Context, s *requestState, slot placement.Slot, delay time.Duration) (a *Response, done bool) {
	ends := make(chan *exchange, 2)
	send := func(slot placement.Slot) *exchange {
		tryCtx, cancel := context.WithDeadline(ctx, f.attemptDeadline(s))
		x, req, opts := &exchange{slot: slot, cancel: cancel}, f.request(s, slot), f.options(s)
		req.SetBody(s.Raw.Body()) // the loser may run on after the caller's buffer is used again
		go func() {
			x.got, x.err = f.cfg.Client.Do(tryCtx, slot.Addr, req, opts)
			ends <- x
		}()
		return x
	}
	first := send(slot)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ends:
		return f.handle(ctx, s, first)
	case <-timer.C:
	}
	other, ok := f.takeCopySlot(s, slot)
	if !ok {
		return f.handle(ctx, s, <-ends)
	}
	second := send(other)
	f.cfg.Scope.Counter("plain_copies").Inc(1)
	x := <-ends
	if !f.served(x) {
		if a, done = f.handle(ctx, s, x); done {
			s.lastFailure = a // for the case that the other one gets no answer
		}
		return f.handle(ctx, s, <-ends)
	}
	loser := first
	if x == first {
		loser = second
	} else {
		f.cfg.Scope.Counter("plain_copies_won").Inc(1)
	}
	s.sent++
	loser.cancel()
	go func() {
		y := <-ends
		f.cfg.Table.Done(y.slot, placement.Abandoned, 0, time.Now())
		if y.err == nil {
			y.got.Close(false)
		}
	}()
	return f.handle(ctx, s, x)
}

// takeCopySlot takes a slot at another server for a second copy, if the budget allows it and the service is not
// under pressure.
func (f *Forwarder) takeCopySlot(s *requestState, first placement.Slot) (placement.Slot, bool) {
	now := time.Now()
	if _, pressed := f.cfg.Admission.Pressed(s.Service, now); pressed || f.cfg.Table.AllFull(s.Service, now) {
		return placement.Slot{}, false
	}
	req := placement.Requirement{Service: s.Service, Avoid: map[string]bool{first.ID: true}, Priority: s.Priority, Asked: s.asked, Strict: true}
	if !f.cfg.Table.Available(req, now) || !f.cfg.Copies.Take() {
		return placement.Slot{}, false
	}
	return f.cfg.Table.Take(req, now)
}
