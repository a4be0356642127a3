package dispatch_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/plantainbank/plantainbank/internal/standin"
	"github.com/plantainbank/plantainbank/pkg/connection/backendserver"
	"github.com/plantainbank/plantainbank/pkg/process/settings"
	"github.com/plantainbank/plantainbank/pkg/process/trace"
	"github.com/plantainbank/plantainbank/pkg/request/attempt"
	"github.com/plantainbank/plantainbank/pkg/request/dispatch"
)

// initialBalance is the number of retries that the budget starts with.
const initialBalance = 20

func startEngines(t *testing.T, names ...string) ([]*standin.Engine, *dispatch.Dispatcher) {
	t.Helper()
	var all []*standin.Engine
	var servers []backendserver.Server
	shares := map[string]int{}
	for _, id := range names {
		e, err := standin.StartEngine(standin.EngineConfig{Base: standin.Base{ID: id, Addr: "127.0.0.1:0", Capacity: 8}, TokenTime: time.Millisecond})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(e.Close)
		all = append(all, e)
		servers = append(servers, backendserver.Server{ID: id, Addr: e.Addr, Pool: "model", Limit: 8})
		shares[id] = 8
	}
	table := backendserver.New(backendserver.Policy{Choice: "wait"}, 1)
	table.Replace(1, servers)
	tracer, err := trace.New(settings.Trace{}, "entry", "test")
	if err != nil {
		t.Fatal(err)
	}
	cfg := settings.DefaultEntry()
	d := dispatch.New(dispatch.Config{Policy: cfg.Policy, Limits: cfg.Limits, Table: table, Client: attempt.NewClient(),
		Usage: dispatch.NewUsage(), Scope: tally.NoopScope, Tracer: tracer, RequestShares: func() {}})
	d.Start()
	standin.Renew(t.Context(), table, shares, d.Start)
	return all, d
}

func generate(d *dispatch.Dispatcher, tokens int) (*dispatch.GenerationResult, error) {
	j := &dispatch.Job{Workspace: "w", Weight: 1, Idempotent: true, Deadline: time.Now().Add(10 * time.Second), Requirement: backendserver.Requirement{Pool: "model"}}
	return d.Generate(context.Background(), j, dispatch.GenerationRequest{Rollout: "r", Prompt: "p", MaxTokens: tokens, Seed: 3, RequireVersions: true})
}

// TestEngineWithoutVersionsProducesNoSample runs an engine that does not report its
// weight version: the generation fails, or runs on another engine of the pool.
func TestEngineWithoutVersionsProducesNoSample(t *testing.T) {
	all, d := startEngines(t, "silent")
	all[0].SetFault(standin.EngineFault{OmitVersion: true})
	_, err := generate(d, 5)
	var silent *dispatch.MissingVersionError
	if !errors.As(err, &silent) || silent.Backend != "silent" {
		t.Fatalf("error is %v", err)
	}
	all, d = startEngines(t, "silent", "versioned")
	all[0].SetFault(standin.EngineFault{OmitVersion: true})
	for range 4 {
		g, err := generate(d, 5)
		if err != nil || g.Backend != "versioned" || len(g.Spans) != 1 {
			t.Fatalf("%+v, %v", g, err)
		}
	}
}

// TestSwapDuringGeneration loads new weights during a running stream: the spans
// name both versions and cover every token, with and without a resumed attempt.
func TestSwapDuringGeneration(t *testing.T) {
	for _, cutAt := range []int{0, 30} {
		all, d := startEngines(t, "e")
		all[0].SetFault(standin.EngineFault{CutAfter: cutAt, Times: 1})
		go func() {
			for all[0].Stats().Running == 0 {
				time.Sleep(time.Millisecond)
			}
			time.Sleep(20 * time.Millisecond)
			all[0].Load("r", 2)
		}()
		g, err := generate(d, 200)
		if err != nil {
			t.Fatal(err)
		}
		if len(g.Spans) != 2 || g.Spans[0].Version != 0 || g.Spans[1].Version != 2 {
			t.Fatalf("spans are %v", g.Spans)
		}
		if g.Spans[0].From != 0 || g.Spans[0].To != g.Spans[1].From || g.Spans[1].To != 200 {
			t.Fatalf("spans do not cover all tokens: %v", g.Spans)
		}
	}
}

// TestRetriesStayWithinTheBudget runs requests against a pool that refuses all of
// them: the retries must not exceed the initial budget.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	all, d := startEngines(t, "a", "b")
	for _, e := range all {
		e.SetFault(standin.EngineFault{Busy: true})
	}
	const requests = 100
	for range requests {
		j := &dispatch.Job{Workspace: "w", Weight: 1, Idempotent: true, Deadline: time.Now().Add(50 * time.Millisecond), Requirement: backendserver.Requirement{Pool: "model"}}
		if _, err := d.Generate(context.Background(), j, dispatch.GenerationRequest{Prompt: "p", MaxTokens: 1}); err == nil {
			t.Fatal("an overloaded engine served a request")
		}
	}
	started := all[0].Stats().Started + all[1].Stats().Started
	if started > requests+initialBalance {
		t.Fatalf("%d attempts for %d requests, the budget allows %d retries", started, requests, initialBalance)
	}
}
