// Package sample produces the samples of rollout steps on an entry host: it claims
// slots from the control leader, generates the samples, has them scored, and
// commits them.
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

// Timeouts and intervals of a worker.
const (
	claimWait            = time.Second
	claimMargin          = 2 * time.Second
	pollInterval         = 50 * time.Millisecond
	commitAttemptTimeout = 2 * time.Second
	commitTimeout        = 15 * time.Second
	releaseTimeout       = time.Second
)

// Config configures a Worker.
type Config struct {
	Host       string
	MaxClaims  int
	Leader     *leader.Client
	Dispatcher *dispatch.Dispatcher
	Table      *backendserver.Table
	View       func() (*view.View, bool)
	Scope      tally.Scope
}

// Worker claims slots for one entry host and produces their samples.
type Worker struct {
	cfg   Config
	wg    sync.WaitGroup
	freed chan struct{}
	mu    sync.Mutex
	// running counts the claims in progress.
	running int
}

// New returns a worker. Run starts it.
func New(cfg Config) *Worker { return &Worker{cfg: cfg, freed: make(chan struct{}, 1)} }

// Run claims slots until claimCtx ends, then waits for the claims in progress.
// The end of workCtx aborts these too.
func (w *Worker) Run(claimCtx, workCtx context.Context) {
	for claimCtx.Err() == nil {
		maxNew := w.freeClaims()
		if maxNew <= 0 {
			w.pause(claimCtx)
			continue
		}
		claims, err := w.claim(claimCtx, maxNew)
		if err != nil {
			w.pause(claimCtx)
			continue
		}
		for _, c := range claims {
			w.start(workCtx, c)
		}
	}
	w.wg.Wait()
}

// freeClaims returns how many more claims this host can process now: at most its
// free slots at backend servers, and at most MaxClaims in total.
func (w *Worker) freeClaims() int {
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
	case <-w.freed:
	case <-time.After(pollInterval):
	}
}

func (w *Worker) claim(ctx context.Context, maxNew int) ([]*pb.Claim, error) {
	ctx, cancel := context.WithTimeout(ctx, claimWait+claimMargin)
	defer cancel()
	var out []*pb.Claim
	err := w.cfg.Leader.CallOnce(ctx, func(ctx context.Context, c pb.Control) error {
		a, err := c.Claim(ctx, &pb.ClaimRequest{Host: w.cfg.Host, Most: uint32(maxNew), Waitms: uint32(claimWait / time.Millisecond)})
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
		w.handleClaim(ctx, c)
		w.mu.Lock()
		w.running--
		w.mu.Unlock()
		select {
		case w.freed <- struct{}{}:
		default:
		}
	})
}

// handleClaim produces and commits one sample. If production fails, it releases the
// claim; if the commit fails, the slot can be claimed again once the claim's lease
// has ended.
func (w *Worker) handleClaim(ctx context.Context, c *pb.Claim) {
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
		Requirement: backendserver.Requirement{Pool: c.Pool, Prefix: c.Prompt, Rollout: c.Rollout, Version: c.Minversion}}
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

// seedOf derives the seed of an attempt at a slot. It depends on the attempt only,
// not on the host that processes it.
func seedOf(c *pb.Claim) uint64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s/%d/%d/%d", c.Rollout, c.Number, c.Slot, c.Attempt)
	return h.Sum64()
}

// scoreRequest is the body of a request to a scoring service.
type scoreRequest struct {
	Prompt string `json:"prompt"`
	Text   string `json:"text"`
}

// scoreResponse is the response of a scoring service.
type scoreResponse struct {
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
		Deadline: time.Now().Add(time.Duration(c.Leasems) * time.Millisecond), Requirement: backendserver.Requirement{Pool: c.Scorer}}
	res, id, err := w.cfg.Dispatcher.Call(ctx, j, req)
	if err != nil {
		return 0, err
	}
	var a scoreResponse
	if err := json.Unmarshal(res.Body(), &a); err != nil || res.StatusCode() != http.StatusOK || a.Score == nil {
		return 0, fmt.Errorf("scoring service %s responded with status %d without a score", id, res.StatusCode())
	}
	return *a.Score, nil
}

// commit stores a sample. It retries until the leader has answered or
// commitTimeout has passed. A retry is safe: the leader retains the first sample
// of a slot and ignores later ones.
func (w *Worker) commit(s *pb.Sample) {
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	err := w.cfg.Leader.Call(ctx, commitAttemptTimeout, func(ctx context.Context, c pb.Control) error {
		_, err := c.Commit(ctx, &pb.CommitRequest{Host: w.cfg.Host, Samples: []*pb.Sample{s}})
		return err
	})
	if err != nil {
		w.cfg.Scope.Counter("samples_failed").Inc(1)
		return
	}
	w.cfg.Scope.Counter("samples").Inc(1)
}

// release returns a claim, so that another host can claim the slot immediately.
func (w *Worker) release(c *pb.Claim) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	_ = w.cfg.Leader.CallOnce(ctx, func(ctx context.Context, s pb.Control) error {
		_, err := s.Commit(ctx, &pb.CommitRequest{Host: w.cfg.Host, Released: []*pb.Claim{c}})
		return err
	}) // a lost release is harmless: the claim expires with its lease
}
