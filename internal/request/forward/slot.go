package forward

import (
	"context"
	"time"

	"github.com/plantainbank/plantainbank/internal/connection/placement"
)

// takeSlot takes a slot at a server. While none is available it waits up to slotWait, then
// it also accepts a server in cooldown.
func (f *Forwarder) takeSlot(ctx context.Context, s *requestState) (placement.Slot, bool) {
	req := placement.Requirement{Service: s.Service, Avoid: s.avoid, Priority: s.Priority, Asked: s.asked, Software: s.Software}
	until := s.capToDeadline(time.Now().Add(slotWait))
	s.limit = placement.LimitDelay{}
	for {
		now := time.Now()
		if slot, ok := f.cfg.Table.Take(req, now); ok {
			return slot, true
		}
		if len(req.Avoid) > 0 {
			req.Avoid = nil // a server that failed before is better than none
			continue
		}
		s.limit = f.cfg.Table.LimitDelay(req, now)
		if s.limit.Limited && now.Add(s.limit.Wait).After(until) {
			return placement.Slot{}, false
		}
		if !f.cfg.Table.Serves(req) || req.IgnoreCooldown || ctx.Err() != nil || f.unlinked(s) {
			return placement.Slot{}, false
		}
		if now.After(until) {
			req.IgnoreCooldown = true
			continue
		}
		time.Sleep(slotPollInterval)
	}
}

func (s *requestState) capToDeadline(t time.Time) time.Time {
	if end := s.Deadline.Add(-responseMargin); end.Before(t) {
		return end
	}
	return t
}
