// Package sample produces the samples of steps on an entry host: it claims
// slots from the control leader, generates, has the sample scored, and commits.
package sample

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"

	"github.com/plantainbank/plantainbank/pkg/connection/backendserver"
	"github.com/plantainbank/plantainbank/pkg/process/leader"
	"github.com/plantainbank/plantainbank/pkg/request/dispatch"
	"github.com/plantainbank/plantainbank/pkg/version/view"
	pb "github.com/plantainbank/plantainbank/service/control"
)

// Periods of a worker.
const (
	claimWait   = time.Second
	claimSlack  = 2 * time.Second
	idlePause   = 50 * time.Millisecond
	commitTry   = 2 * time.Second
	commitLimit = 15 * time.Second
	releaseTime = time.Second
)

// Config holds what a Worker needs.
type Config struct {
	Host       string
	MaxClaims  int
	Leader     *leader.Client
	Dispatcher *dispatch.Dispatcher
	Table      *backendserver.Table
	View       func() (*view.View, bool)
	Scope      tally.Scope
}

// Worker runs the claims of one entry host.
type Worker struct {
	cfg  Config
	wg   sync.WaitGroup
	done chan struct{}
	mu   sync.Mutex
	// running counts the claims in work.
	running int
}

// New returns a worker.
func New(cfg Config) *Worker { return &Worker{cfg: cfg, done: make(chan struct{}, 1)} }

// Run claims until claim ends, then waits for the work that is under way. work
// ends that too.
func (w *Worker) Run(claim, work context.Context) {
	for claim.Err() == nil {
		most := w.room()
		if most <= 0 {
			w.pause(claim)
			continue
		}
		claims, err := w.claim(claim, most)
		if err != nil {
			w.pause(claim)
			continue
		}
		for _, c := range claims {
			w.start(work, c)
		}
	}
	w.wg.Wait()
}

// room is the number of further claims that this host can work on at once: no
// more than it has free slots at backend servers.
func (w *Worker) room() int {
	v, ok := w.cfg.View()
	if !ok {
		return 0
	}
	pools := map[string]bool{}
	for _, r := range v.Rollouts {
		pools[r.Pool] = true
	}
	free := 0
	for pool := range pools {
		free += w.cfg.Table.Free(pool)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return min(free, w.cfg.MaxClaims-w.running)
}

func (w *Worker) pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-w.done:
	case <-time.After(idlePause):
	}
}

func (w *Worker) claim(ctx context.Context, most int) ([]*pb.Claim, error) {
	ctx, cancel := context.WithTimeout(ctx, claimWait+claimSlack)
	defer cancel()
	var out []*pb.Claim
	err := w.cfg.Leader.CallOnce(ctx, func(ctx context.Context, c pb.Control) error {
		a, err := c.Claim(ctx, &pb.ClaimRequest{Host: w.cfg.Host, Most: uint32(most), Waitms: uint32(claimWait / time.Millisecond)})
		if err == nil {
			out = a.Claims
		}
		return err
	})
	return out, err
}

func (w *Worker) start(ctx context.Context, c *pb.Claim) {
	w.mu.Lock()
	w.running++
	w.mu.Unlock()
	w.wg.Go(func() {
		w.work(ctx, c)
		w.mu.Lock()
		w.running--
		w.mu.Unlock()
		select {
		case w.done <- struct{}{}:
		default:
		}
	})
}

// work produces one sample. Whatever goes wrong, the slot is free again.
func (w *Worker) work(ctx context.Context, c *pb.Claim) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(c.Leasems)*time.Millisecond)
	defer cancel()
	s, err := w.produce(ctx, c)
	if err != nil {
		w.cfg.Scope.Counter("samples_failed").Inc(1)
		w.release(c)
		return
	}
	w.commit(s)
}

func (w *Worker) produce(ctx context.Context, c *pb.Claim) (*pb.Sample, error) {
	v, ok := w.cfg.View()
	if !ok {
		return nil, errors.New("no valid lease")
	}
	j := &dispatch.Job{Workspace: c.Workspace, Weight: v.Weight(c.Workspace), Idempotent: true,
		Deadline: time.Now().Add(time.Duration(c.Leasems) * time.Millisecond), Cost: float64(c.Maxtokens),
		Want: backendserver.Requirement{Pool: c.Pool, Prefix: c.Prompt, Rollout: c.Rollout, Version: c.Minversion}}
	g, err := w.cfg.Dispatcher.Generate(ctx, j, dispatch.GenerationRequest{Rollout: c.Rollout, Prompt: c.Prompt,
		MaxTokens: int(c.Maxtokens), Seed: seedOf(c), RequireVersions: true})
	if err != nil {
		return nil, err
	}
	s := &pb.Sample{Rollout: c.Rollout, Number: c.Number, Group: c.Group, Slot: c.Slot, Attempt: c.Attempt,
		Text: g.Text, Backend: g.Backend, Host: w.cfg.Host}
	for _, x := range g.Spans {
		s.Spans = append(s.Spans, &pb.Span{Version: x.Version, From: x.From, To: x.To})
	}
	if c.Scorer != "" {
		s.Score, err = w.score(ctx, c, g.Text)
	}
	return s, err
}

// seedOf gives each attempt of a slot its own seed, whichever host works on it.
func seedOf(c *pb.Claim) uint64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s/%d/%d/%d", c.Rollout, c.Number, c.Slot, c.Attempt)
	return h.Sum64()
}

// scoreRequest is the body of a call to a scoring service.
type scoreRequest struct {
	Prompt string `json:"prompt"`
	Text   string `json:"text"`
}

// scoreAnswer is the answer of a scoring service.
type scoreAnswer struct {
	Score *float64 `json:"score"`
}

func (w *Worker) score(ctx context.Context, c *pb.Claim, text string) (float64, error) {
	body, err := json.Marshal(scoreRequest{c.Prompt, text})
	if err != nil {
		return 0, err
	}
	req := &fasthttp.Request{}
	req.Header.SetMethod(http.MethodPost)
	req.SetRequestURI("http://" + c.Scorer + "/score")
	req.Header.SetContentType("application/json")
	req.SetBodyRaw(body)
	j := &dispatch.Job{Workspace: c.Workspace, Weight: 1, Idempotent: true,
		Deadline: time.Now().Add(time.Duration(c.Leasems) * time.Millisecond), Want: backendserver.Requirement{Pool: c.Scorer}}
	res, id, err := w.cfg.Dispatcher.Call(ctx, j, req)
	if err != nil {
		return 0, err
	}
	var a scoreAnswer
	if err := json.Unmarshal(res.Body(), &a); err != nil || res.StatusCode() != http.StatusOK || a.Score == nil {
		return 0, fmt.Errorf("scoring service %s answered %d without a score", id, res.StatusCode())
	}
	return *a.Score, nil
}

// commit stores a sample. It is repeated until the leader has answered: the
// first sample of a slot stands, so a repeat changes nothing.
func (w *Worker) commit(s *pb.Sample) {
	ctx, cancel := context.WithTimeout(context.Background(), commitLimit)
	defer cancel()
	err := w.cfg.Leader.Call(ctx, commitTry, func(ctx context.Context, c pb.Control) error {
		_, err := c.Commit(ctx, &pb.CommitRequest{Host: w.cfg.Host, Samples: []*pb.Sample{s}})
		return err
	})
	if err != nil {
		w.cfg.Scope.Counter("samples_failed").Inc(1)
		return
	}
	w.cfg.Scope.Counter("samples").Inc(1)
}

// release lets another host claim the slot at once.
func (w *Worker) release(c *pb.Claim) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTime)
	defer cancel()
	_ = w.cfg.Leader.CallOnce(ctx, func(ctx context.Context, s pb.Control) error {
		_, err := s.Commit(ctx, &pb.CommitRequest{Host: w.cfg.Host, Released: []*pb.Claim{c}})
		return err
	}) // the claim runs out by itself if this is lost
}
