package store

import (
	"maps"
	"time"

	"github.com/plantainbank/plantainbank/internal/request/batch"
)

const (
	// workWeight is the weight of one batch in the moving average of a model's work.
	workWeight = 0.4
	// workRetention is how long a model keeps its work after its latest batch was submitted:
	// a few steps, so that a trainer that is late keeps its engines.
	workRetention = 30 * time.Second
	// promptTokens is the work of an item besides the tokens that it generates, in tokens.
	promptTokens = 10
)

// workEstimate is the expected work of a step of one model.
type workEstimate struct {
	tokens float64
	// at is the submission of the latest batch in Unix milliseconds.
	at int64
}

// workEstimates holds the expected work of a step, by model.
type workEstimates map[string]workEstimate

// add counts a batch that was accepted. The size of its steps, not what is left of them,
// decides how many engines a model needs: a trainer that waits for engines submits no more.
func (x workEstimates) add(b *batch.Batch) {
	if b.Model == "" {
		return
	}
	tokens := 0.0
	for i := range b.Items {
		// Other fields of an item may be released at the same time, when the batch ends.
		tokens += float64(b.Items[i].LengthHint + promptTokens)
	}
	e, known := x[b.Model]
	if !known {
		e.tokens = tokens
	}
	e.tokens += workWeight * (tokens - e.tokens)
	e.at = max(e.at, b.Submitted)
	x[b.Model] = e
}

// expected returns the work of the models that were trained within workRetention.
func (x workEstimates) expected(now time.Time) map[string]float64 {
	maps.DeleteFunc(x, func(_ string, e workEstimate) bool { return now.Sub(time.UnixMilli(e.at)) > workRetention })
	out := map[string]float64{}
	for m, e := range x {
		out[m] = e.tokens
	}
	return out
}

func (d *driver) expectedWork(now time.Time) map[string]float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.work.expected(now)
}
