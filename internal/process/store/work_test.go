package store

import (
	"sync"
	"testing"

	"github.com/plantainbank/plantainbank/internal/request/batch"
)

// TestWorkOfABatchThatEnds guards against a data race between the driver, which adds the work of an accepted batch, and
// the end of this batch, which releases the data of its items.
func TestWorkOfABatchThatEnds(t *testing.T) {
	s := batch.NewStore()
	apply := func(c *batch.Command) {
		data, err := c.Encode()
		if err != nil {
			t.Error(err)
			return
		}
		if _, err := s.Apply(data); err != nil {
			t.Error(err)
		}
	}
	b := testBatch("b", batch.Item{ID: "i", Path: "/x", Body: []byte("body"), LengthHint: 7})
	apply(&batch.Command{Accept: b})
	stored := s.Get("b")
	var wg sync.WaitGroup
	wg.Go(func() { apply(&batch.Command{End: "b"}) })
	work := workEstimates{}
	work.add(stored)
	wg.Wait()
	if got := work["m"].tokens; got != 7+promptTokens {
		t.Errorf("the work is %v tokens", got)
	}
}
