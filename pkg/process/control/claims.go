package control

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/plantainbank/plantainbank/pkg/process/ledger"
	pb "github.com/plantainbank/plantainbank/service/control"
)

// claimKey identifies a slot of a step.
type claimKey struct {
	step string
	slot int
}

// claim is the lease of an entry host on a slot.
type claim struct {
	host    string
	attempt uint32
	start   time.Time
	until   time.Time
	hedged  bool
}

func (l *leadership) releaseClaims(host string) {
	for k, c := range l.claims {
		if c.host == host {
			delete(l.claims, k)
		}
	}
}

// openSlots returns the number of unfilled slots without a claim.
func (s *Server) openSlots() int {
	n := 0
	for _, step := range s.ledger.Steps {
		n += len(step.Slots) - step.Filled()
	}
	return max(0, n-len(s.leadership.claims))
}

// Claim leases slots to an entry host. It waits until a slot can be claimed or the wait is
// over.
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

// claim leases up to limit slots to a host. It divides them among the rollouts, starts with
// a different rollout at each call and takes slots of a rollout's oldest step first.
func (s *Server) claim(host string, limit int, now time.Time) []*pb.Claim {
	queues := s.openSteps()
	var out []*pb.Claim
	for i := range queues {
		steps := queues[(i+s.leadership.rolloutTurn)%len(queues)]
		quota := (limit-len(out)-1)/(len(queues)-i) + 1
		for _, step := range steps {
			claims := s.claimSlots(step, host, quota, now)
			quota -= len(claims)
			out = append(out, claims...)
		}
	}
	s.leadership.rolloutTurn++
	return out
}

// openSteps returns the unfinished steps, grouped by rollout and ordered by number.
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

func (s *Server) claimSlots(step *ledger.Step, host string, limit int, now time.Time) []*pb.Claim {
	key := ledger.StepKey(step.Rollout, step.Number)
	var out []*pb.Claim
	for i := range step.Slots {
		if len(out) >= limit {
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
		out = append(out, s.claimToProto(step, i, false))
	}
	if len(out) == 0 {
		out = s.hedge(step, host, limit, now)
	}
	return out
}

// Limits of hedging.
const (
	// hedgeFactor is the multiple of the average sample time after which a claimed slot
	// may be leased to a second host as well.
	hedgeFactor = 2
	// minHedgeDelay prevents hedging right after the claim when samples take very little
	// time.
	minHedgeDelay = 300 * time.Millisecond
)

// hedge leases the slowest slots at the end of a step to a second host as well.
func (s *Server) hedge(step *ledger.Step, host string, limit int, now time.Time) []*pb.Claim {
	budget := int(math.Ceil(s.cfg.HedgeFraction * float64(len(step.Slots))))
	open := len(step.Slots) - step.Filled()
	if open > budget || s.avgSampleTime == 0 {
		return nil
	}
	key := ledger.StepKey(step.Rollout, step.Number)
	var out []*pb.Claim
	for i := range step.Slots {
		c := s.leadership.claims[claimKey{key, i}]
		if c == nil || c.hedged || c.host == host || step.Slots[i].Sample != nil || len(out) >= limit {
			continue
		}
		if now.Sub(c.start) > max(minHedgeDelay, hedgeFactor*s.avgSampleTime) {
			c.hedged = true
			s.scope.Counter("hedges").Inc(1)
			out = append(out, s.claimToProto(step, i, true))
		}
	}
	return out
}

func (s *Server) claimToProto(step *ledger.Step, i int, hedge bool) *pb.Claim {
	newest := s.ledger.Versions[step.Rollout]
	return &pb.Claim{Rollout: step.Rollout, Number: step.Number, Group: uint32(i / step.SamplesPerPrompt), Slot: uint32(i),
		Attempt: step.Slots[i].Attempt, Prompt: step.Prompts[i/step.SamplesPerPrompt], Maxtokens: uint32(step.MaxTokens),
		Workspace: step.Workspace, Pool: step.Pool, Scorer: step.Scorer,
		Leasems: uint32(time.Duration(s.cfg.ClaimTimeout) / time.Millisecond), Minversion: newest - min(newest, step.MaxVersionLag), Hedge: hedge}
}

// finishClaims updates the average sample time and releases failed claims, so that their
// slots can be claimed again.
func (s *Server) finishClaims(q *pb.CommitRequest, now time.Time) {
	for _, x := range q.Samples {
		if c := s.leadership.claims[claimKey{ledger.StepKey(x.Rollout, x.Number), int(x.Slot)}]; c != nil {
			s.avgSampleTime += (now.Sub(c.start) - s.avgSampleTime) / sampleTimeWindow
		}
	}
	for _, x := range q.Released {
		k := claimKey{ledger.StepKey(x.Rollout, x.Number), int(x.Slot)}
		if c := s.leadership.claims[k]; c != nil && c.host == q.Host && c.attempt == x.Attempt {
			delete(s.leadership.claims, k)
		}
	}
	if len(q.Released) > 0 {
		s.wakeWaiters()
	}
}

// dropClaims removes the claims of stored samples. It must not run before the samples are
// stored, because their slots would be free and could be claimed a second time.
func (s *Server) dropClaims(samples []*pb.Sample) {
	for _, x := range samples {
		delete(s.leadership.claims, claimKey{ledger.StepKey(x.Rollout, x.Number), int(x.Slot)})
	}
}

// sampleTimeWindow sets the weight of a new value in the average sample time to 1/16.
const sampleTimeWindow = 16
