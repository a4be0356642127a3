package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Sizes of greyWorkerFails.
const (
	greyRequests = 280
	greyWorkers  = 7
	// greyPart is the part of its requests that the one grey worker fails.
	greyPart = 0.4
)

// greyWorkerFails sends requests that must not be repeated while one of seven plain workers fails part of those that it
// has run, with a 503 that does not say that they were not run. The consumers repeat what was refused.
func greyWorkerFails(s *site, trouble bool) error {
	workers, err := s.begin(2, greyWorkers)
	if err != nil {
		return err
	}
	c := config(2)
	once := map[string]any{"name": "r-once", "host": hostName, "path_prefix": "/kfu417/", "route_type": "non_idempotent", "timeout_ms": 1500,
		"target_latency_ms": 150, "priority": 2, "service": "wuno96b", "max_attempts": 2, "public": false}
	c["routes"] = append(c["routes"].([]map[string]any), once)
	if status, _ := s.operate(http.MethodPost, "/v1/config/put", c, 10*time.Second); status != http.StatusOK {
		return errors.New("the second configuration was not accepted")
	}
	time.Sleep(2*time.Second + contact)
	runs := &runLog{runs: map[string]time.Time{}}
	for i, w := range workers[2:] {
		w.mu.Lock()
		w.onRun = runs.add(s.rec, w)
		if trouble && i == 0 {
			w.fails, w.failStatus = greyPart, http.StatusServiceUnavailable
		}
		w.mu.Unlock()
	}
	var mu sync.Mutex
	refusedAfterRun, twice := 0, 0
	var wg sync.WaitGroup
	for i := range greyRequests {
		wg.Go(func() {
			ran := 0
			for try := range 2 { // a consumer comes back once, with a new id
				id := fmt.Sprintf("job%03d-%d", i, try)
				status, _ := s.request(s.of("edge")[(i+try)%3], http.MethodPost, "/kfu417/2f", id, map[string]string{"Plantainbank-Deadline-Ms": "1500"}, []byte("job"), 2*time.Second)
				if runs.has(id) {
					ran++
				}
				s.rec.add("answer", "request", id, "status", status, "ran", runs.has(id))
				if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
					break
				}
				if runs.has(id) {
					mu.Lock()
					refusedAfterRun++
					mu.Unlock()
				}
			}
			if ran > 1 {
				mu.Lock()
				twice++
				mu.Unlock()
			}
		})
		time.Sleep(25 * time.Millisecond)
	}
	wg.Wait()
	s.rec.add("end", "refused after they ran", refusedAfterRun, "jobs done twice", twice)
	if refusedAfterRun > 0 {
		return fmt.Errorf("%w: REFUSED: %d requests that must not be repeated were answered 503 and had run; %d jobs were done twice", errBroken, refusedAfterRun, twice)
	}
	return nil
}
