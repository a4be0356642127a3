package main

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// Sizes and times of slowWorkerKeepsAlive.
const (
	slowItems  = 48
	slowEvents = 10
	// slowFactor, slowFor and keepAliveAfter are those of the slow worker.
	slowFactor     = 3.5
	slowFor        = 6500 * time.Millisecond
	keepAliveAfter = 250 * time.Millisecond
)

// slowWorkerKeepsAlive turns one of six model workers slow while a batch is at work. All workers send a comment
// line into a stream that has had no event for 250 ms.
func slowWorkerKeepsAlive(s *site, trouble bool) error {
	workers, err := s.begin(6, 0)
	if err != nil {
		return err
	}
	time.Sleep(contact)
	for _, w := range workers {
		w.mu.Lock()
		w.events, w.pause, w.keepAlive = slowEvents, 100*time.Millisecond, keepAliveAfter
		w.mu.Unlock()
	}
	if trouble {
		s.setSlow(workers[0], slowFactor)
		defer time.AfterFunc(slowFor, func() { s.setSlow(workers[0], 1) }).Stop()
	}
	if !s.submit("slow", slowItems, 3*time.Second) {
		return errors.New("the batch was not accepted")
	}
	wrong, results := 0, 0
	first := ""
	edge := s.of("edge")[0]
	for end := time.Now().Add(30 * time.Second); results < slowItems && time.Now().Before(end); {
		_, p := s.read(edge, "slow", results, time.Second)
		for _, r := range p.Results {
			results++
			if r.State == "completed" && r.Text != outputOf(r.ID) {
				wrong++
				first = r.ID
				s.rec.add("wrong text", "item", r.ID, "text", fmt.Sprintf("%q", r.Text))
			}
		}
	}
	s.rec.add("read", "batch", "slow", "results", results, "wrong", wrong)
	switch {
	case wrong > 0:
		return fmt.Errorf("%w: MIXED, ORDER: %d of %d completed results do not have the item's output, as item %s", errBroken, wrong, results, first)
	case results < slowItems:
		return errors.New("the batch was not run")
	}
	return nil
}

func (s *site) setSlow(w *worker, x float64) {
	s.rec.add("worker", "id", w.id, "slow", x)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slow = x
}

// outputOf returns the whole output of an item: the data of all its events.
func outputOf(item string) string {
	var out []string
	for n := 1; n <= slowEvents; n++ {
		out = append(out, fmt.Sprintf("event %d of %s", n, item))
	}
	return strings.Join(out, "\n")
}
