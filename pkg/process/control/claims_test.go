package control

import (
	"errors"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/twitchtv/twirp"
	"github.com/uber-go/tally/v4"

	"github.com/plantainbank/plantainbank/pkg/process/ledger"
	"github.com/plantainbank/plantainbank/pkg/process/settings"
	pb "github.com/plantainbank/plantainbank/service/control"
)

// claimServer returns a leader with open steps of a number of slots each, by rollout.
func claimServer(hedge float64, steps map[string][]int) *Server {
	s := &Server{leadership: newLeadership(1, testStart, 3*time.Second), ledger: ledger.New(), scope: tally.NoopScope}
	s.cfg.ClaimTimeout, s.cfg.HedgeFraction = settings.Duration(20*time.Second), hedge
	for rollout, sizes := range steps {
		for n, slots := range sizes {
			step := &ledger.Step{OpenStep: ledger.OpenStep{Rollout: rollout, Number: uint64(n), SamplesPerPrompt: 1, MaxTokens: 1},
				Slots: make([]ledger.Slot, slots)}
			for i := range slots {
				step.Prompts = append(step.Prompts, fmt.Sprint(i))
			}
			s.ledger.Steps[ledger.StepKey(rollout, step.Number)] = step
		}
	}
	return s
}

// TestClaimsAreDividedAmongRollouts claims slots of two rollouts, one of which has many open
// steps: each gets half of a claim.
func TestClaimsAreDividedAmongRollouts(t *testing.T) {
	s := claimServer(0, map[string][]int{"many": {1, 1, 1, 1, 1, 1, 1, 1}, "one": {20}})
	count := map[string]int{}
	for _, c := range s.claim("h", 8, testStart) {
		count[c.Rollout]++
	}
	if count["many"] != 4 || count["one"] != 4 {
		t.Fatalf("claims by rollout: %v, want 4 each", count)
	}
}

// TestHedgeGoesToAnotherHost waits for a slow sample at the end of a step: it is leased to another
// host as well, and not to the host that generates it.
func TestHedgeGoesToAnotherHost(t *testing.T) {
	s := claimServer(1, map[string][]int{"r": {1}})
	s.avgSampleTime = time.Second
	if got := s.claim("a", 4, testStart); len(got) != 1 {
		t.Fatalf("%d claims", len(got))
	}
	late := testStart.Add(5 * time.Second)
	if got := s.claim("a", 4, late); len(got) != 0 {
		t.Fatalf("the host that has the slot got it again: %v", got)
	}
	if got := s.claim("b", 4, late); len(got) != 1 || !got[0].Hedge {
		t.Fatalf("another host got %v, want the slot as a hedge", got)
	}
}

func TestScoresAreFinite(t *testing.T) {
	for _, score := range []float64{math.NaN(), math.Inf(1), math.Inf(-1)} {
		err := checkScores(&pb.CommitRequest{Samples: []*pb.Sample{{Score: 1}, {Score: score}}})
		var e twirp.Error
		if !errors.As(err, &e) || e.Code() != twirp.InvalidArgument || e.Meta("argument") != "samples[1].score" {
			t.Errorf("%v: %v", score, err)
		}
	}
	if err := checkScores(&pb.CommitRequest{Samples: []*pb.Sample{{Score: 0.5}}}); err != nil {
		t.Error(err)
	}
}
