package control

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/plantainbank/plantainbank/pkg/process/ledger"
	pb "github.com/plantainbank/plantainbank/service/control"
)

// claimKey names a slot that is in work.
type claimKey struct {
	step string
	slot int
}

// claim is a slot in work on an entry host.
type claim struct {
	host    string
	attempt uint32
	start   time.Time
	until   time.Time
	hedged  bool
}

func (r *leadership) releaseClaims(host string) {
	for k, c := range r.claims {
		if c.host == host {
			delete(r.claims, k)
		}
	}
}

// openSlots counts the slots that no host works on.
func (s *Server) openSlots() int {
	n := 0
	for _, step := range s.ledger.Steps {
		n += len(step.Slots) - step.Filled()
	}
	return max(0, n-len(s.leadership.claims))
}

// Claim leases slots to an entry host.
func (s *Server) Claim(ctx context.Context, q *pb.ClaimRequest) (*pb.Claims, error) {
	out := &pb.Claims{}
	err := s.await(ctx, time.Duration(q.Waitms)*time.Millisecond, func() (bool, error) {
		now := time.Now()
		if !s.leadership.leases.Live(q.Host, now) {
			return true, nil
		}
		out.Claims = s.claim(q.Host, int(q.Most), now)
		return len(out.Claims) > 0, nil
	})
	return out, err
}

// claim takes slots of all rollouts in turn, the oldest step of each first.
func (s *Server) claim(host string, most int, now time.Time) []*pb.Claim {
	queues := s.openSteps()
	var out []*pb.Claim
	for i := range queues {
		steps := queues[(i+s.leadership.turn)%len(queues)]
		part := (most-len(out)-1)/(len(queues)-i) + 1
		for _, step := range steps {
			out = append(out, s.claimSlots(step, host, min(part, most-len(out)), now)...)
		}
	}
	s.leadership.turn++
	return out
}

// openSteps returns the unfinished steps of each rollout in order.
func (s *Server) openSteps() [][]*ledger.Step {
	byRollout := map[string][]*ledger.Step{}
	var names []string
	for _, step := range s.ledger.Steps {
		if step.Filled() == len(step.Slots) {
			continue
		}
		if byRollout[step.Rollout] == nil {
			names = append(names, step.Rollout)
		}
		byRollout[step.Rollout] = append(byRollout[step.Rollout], step)
	}
	slices.Sort(names)
	var out [][]*ledger.Step
	for _, n := range names {
		steps := byRollout[n]
		slices.SortFunc(steps, func(a, b *ledger.Step) int { return int(a.Number) - int(b.Number) })
		out = append(out, steps)
	}
	return out
}

func (s *Server) claimSlots(step *ledger.Step, host string, most int, now time.Time) []*pb.Claim {
	key := ledger.StepKey(step.Rollout, step.Number)
	var out []*pb.Claim
	for i := range step.Slots {
		if len(out) >= most {
			return out
		}
		slot := &step.Slots[i]
		if slot.Sample != nil || slot.Position != 0 {
			continue
		}
		k := claimKey{key, i}
		if c := s.leadership.claims[k]; c != nil && now.Before(c.until) && c.attempt == slot.Attempt {
			continue
		}
		s.leadership.claims[k] = &claim{host: host, attempt: slot.Attempt, start: now, until: now.Add(time.Duration(s.cfg.ClaimTimeout))}
		out = append(out, s.wireClaim(step, i, false))
	}
	if len(out) == 0 {
		out = s.hedge(step, host, most, now)
	}
	return out
}

// Limits of hedging.
const (
	// hedgeFactor is how many typical production times a slot must have been
	// in work before a second host may produce it too.
	hedgeFactor = 2
	// hedgeFloor keeps very short productions from being hedged at once.
	hedgeFloor = 300 * time.Millisecond
)

// hedge hands the slowest slots of a step's end to a second host.
func (s *Server) hedge(step *ledger.Step, host string, most int, now time.Time) []*pb.Claim {
	budget := int(math.Ceil(s.cfg.HedgeFraction * float64(len(step.Slots))))
	open := len(step.Slots) - step.Filled()
	if open > budget || s.typical == 0 {
		return nil
	}
	key := ledger.StepKey(step.Rollout, step.Number)
	var out []*pb.Claim
	for i := range step.Slots {
		c := s.leadership.claims[claimKey{key, i}]
		if c == nil || c.hedged || step.Slots[i].Sample != nil || len(out) >= most {
			continue
		}
		if now.Sub(c.start) > max(hedgeFloor, hedgeFactor*s.typical) {
			c.hedged = true
			s.scope.Counter("hedges").Inc(1)
			out = append(out, s.wireClaim(step, i, true))
		}
	}
	return out
}

func (s *Server) wireClaim(step *ledger.Step, i int, hedge bool) *pb.Claim {
	newest := s.ledger.Versions[step.Rollout]
	return &pb.Claim{Rollout: step.Rollout, Number: step.Number, Group: uint32(i / step.SamplesPerPrompt), Slot: uint32(i),
		Attempt: step.Slots[i].Attempt, Prompt: step.Prompts[i/step.SamplesPerPrompt], Maxtokens: uint32(step.MaxTokens),
		Workspace: step.Workspace, Pool: step.Pool, Scorer: step.Scorer,
		Leasems: uint32(time.Duration(s.cfg.ClaimTimeout) / time.Millisecond), Minversion: newest - min(newest, step.MaxVersionLag), Hedge: hedge}
}

// finishClaims learns the typical production time and lets failed slots be
// claimed again.
func (s *Server) finishClaims(q *pb.CommitRequest, now time.Time) {
	for _, x := range q.Samples {
		if c := s.leadership.claims[claimKey{ledger.StepKey(x.Rollout, x.Number), int(x.Slot)}]; c != nil {
			s.typical += (now.Sub(c.start) - s.typical) / typicalWindow
		}
	}
	for _, x := range q.Released {
		k := claimKey{ledger.StepKey(x.Rollout, x.Number), int(x.Slot)}
		if c := s.leadership.claims[k]; c != nil && c.host == q.Host && c.attempt == x.Attempt {
			delete(s.leadership.claims, k)
		}
	}
	if len(q.Released) > 0 {
		s.notify()
	}
}

// dropClaims forgets the claims of stored samples. Before they are stored, their
// slots would look free and be produced a second time.
func (s *Server) dropClaims(samples []*pb.Sample) {
	for _, x := range samples {
		delete(s.leadership.claims, claimKey{ledger.StepKey(x.Rollout, x.Number), int(x.Slot)})
	}
}

// typicalWindow is the weight of history in the moving average.
const typicalWindow = 16
