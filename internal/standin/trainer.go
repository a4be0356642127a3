package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/plantainbank/plantainbank/pkg/connection/caller"
)

// Trainer is a fake trainer that runs training steps against the entry hosts.
type Trainer struct {
	// Entries are the callers' addresses of the entry hosts, used in turn.
	Entries []string
	Key     string
	Rollout string
	Groups  int
	Samples int
	Tokens  int
	// Client is http.DefaultClient if nil.
	Client *http.Client
	next   int
}

// pollWait is the maximum time that one request waits for samples.
const pollWait = 2 * time.Second

// Call sends a request to the entry hosts in turn until one answers 200.
func (t *Trainer) Call(ctx context.Context, method, path string, body, out any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	for {
		err = t.tryOnce(ctx, method, path, data, out)
		if err == nil || ctx.Err() != nil {
			return err
		}
		t.next++
		select {
		case <-ctx.Done():
			return err
		case <-time.After(50 * time.Millisecond):
		}
	}
}

func (t *Trainer) tryOnce(ctx context.Context, method, path string, body []byte, out any) error {
	ctx, cancel := context.WithTimeout(ctx, pollWait+3*time.Second)
	defer cancel()
	addr := t.Entries[t.next%len(t.Entries)]
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+t.Key)
	client := t.Client
	if client == nil {
		client = http.DefaultClient
	}
	res, err := client.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("%s %s: %d %s", method, path, res.StatusCode, data)
	}
	return json.Unmarshal(data, out)
}

// Publish announces a weight version of the rollout.
func (t *Trainer) Publish(ctx context.Context, version uint64) error {
	body := map[string]any{"rollout": t.Rollout, "version": version}
	return t.Call(ctx, http.MethodPost, "/v1/weights", body, &struct{}{})
}

// Open opens a training step.
func (t *Trainer) Open(ctx context.Context, number uint64) error {
	prompts := make([]string, t.Groups)
	for i := range prompts {
		prompts[i] = fmt.Sprintf("step %d slip %d: read the order", number, i)
	}
	body := map[string]any{"rollout": t.Rollout, "number": number, "prompts": prompts, "samples": t.Samples, "tokens": t.Tokens}
	return t.Call(ctx, http.MethodPost, "/v1/steps", body, &struct{}{})
}

// Collect receives and acknowledges every sample of a step from a position on. It fails if
// a position is repeated or missing.
func (t *Trainer) Collect(ctx context.Context, number uint64, from uint32) ([]caller.Sample, error) {
	path := fmt.Sprintf("/v1/steps/%s/%d", t.Rollout, number)
	var all []caller.Sample
	for {
		var d caller.Delivery
		query := fmt.Sprintf("/samples?from=%d&most=64&wait=%d", from, pollWait.Milliseconds())
		if err := t.Call(ctx, http.MethodGet, path+query, nil, &d); err != nil {
			return all, err
		}
		for _, s := range d.Samples {
			if s.Position != from {
				return all, fmt.Errorf("received position %d, want %d", s.Position, from)
			}
			from++
			all = append(all, s)
		}
		if len(d.Samples) > 0 {
			ack := map[string]any{"position": from - 1}
			if err := t.Call(ctx, http.MethodPost, path+"/ack", ack, &struct{}{}); err != nil {
				return all, err
			}
		}
		if from > d.Step.Slots {
			return all, nil
		}
	}
}
