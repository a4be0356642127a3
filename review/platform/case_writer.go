package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	writerItems   = 40
	writerSlots   = 4
	writerEvents  = 20
	writerPause   = 40 * time.Millisecond
	writerReports = 300 * time.Millisecond
	// writerLimit is the time limit of the step, from its submission.
	writerLimit = 12 * time.Second
	// writerIdle is how long an item may be at no worker.
	writerIdle = 5 * time.Second
)

// playOtherWriter plays a step during which status reports from another writer come in: they name a
// service that no configuration has, and the addresses of the workers.
func playOtherWriter(s *site, trouble bool) ([]string, error) {
	var mu sync.Mutex
	at := map[string]int{}
	var last time.Time
	run := func(x *exchange) bool {
		mu.Lock()
		at[x.id]++
		last = time.Now()
		mu.Unlock()
		s.rec.add(x.srv.id, "runs %s", x.id)
		events, _ := eventTexts(x.id, 1, writerEvents)
		return x.stream(events, writerPause)
	}
	plain := func(x *exchange) bool { return x.whole(http.StatusOK, "text/plain", "answer to "+x.id) }
	var engines []*server
	for n := range 6 {
		id, service, m, slots, answer := fmt.Sprintf("i-proofer-%d", n), "proofer", model, writerSlots, run
		if n >= 3 {
			id, service, m, slots, answer = fmt.Sprintf("i-counter-%d", n), "counter", "", 6, plain
		}
		v, err := startServer(s, n, id, service, m, slots, answer)
		if err != nil {
			return nil, err
		}
		defer v.close()
		if n < 3 {
			engines = append(engines, v)
		}
	}
	if err := s.putConfig(1); err != nil {
		return nil, err
	}
	if err := s.awaitServed(); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	var items []item
	for i := range writerItems {
		items = append(items, newItem(fmt.Sprintf("item-%d", i), fmt.Sprintf("g%d", i/4)))
	}
	submitted := time.Now()
	if err := s.submit("step-1", keyA, 1, items); err != nil {
		return nil, err
	}
	time.Sleep(writerReports)
	if trouble {
		for n, v := range engines {
			body := fmt.Sprintf(`{"service":"another","addr":%q,"zone":%q,"version":"v1","slots":1,"state":"ready","seq":1,"born":%d}`, v.addr, v.zone, time.Now().UnixMilli())
			if err := s.callControl("writer", "POST", fmt.Sprintf("/v1/instances/w-%d/heartbeat", n), body); err != nil {
				s.rec.add("writer", "%v", err) // a report that is refused names no worker, too
			}
		}
	}
	results := s.readAll("step-1", keyA, writerItems, time.Until(submitted.Add(writerLimit)))
	mu.Lock()
	idle := time.Since(last)
	var never []string
	for _, x := range items {
		if at[x.ID] == 0 {
			never = append(never, x.ID)
		}
	}
	begun := len(at)
	mu.Unlock()
	s.end("step-1", keyA)
	for _, v := range engines {
		s.rec.add(v.id, "has sent status reports up to number %d, its last state is %s", v.reports(), "ready")
	}
	if len(never) == 0 && len(results) == writerItems {
		return nil, nil
	}
	if len(never) == 0 || begun == 0 || idle < writerIdle {
		return nil, fmt.Errorf("the step was slow: %d results, %d items begun, the last %v ago", len(results), begun, idle)
	}
	return []string{fmt.Sprintf("LOST: the step has run out of time with %d of %d results; %d items were at no worker for the last %.1f s, with idle workers that report ready",
		len(results), writerItems, len(never), idle.Seconds())}, nil
}

// reports returns the number of status reports that a server has sent.
func (v *server) reports() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.seq
}
