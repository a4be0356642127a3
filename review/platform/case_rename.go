package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	renameItems    = 24
	renameFailing  = 2
	renameAttempts = 3 // max_attempts of the route
	renameLimit    = 12 * time.Second
)

// playRenamedRoute plays a step with items that fail at each run, while a configuration removes the
// route of the batch and adds one with another name and all else the same.
func playRenamedRoute(s *site, trouble bool) ([]string, error) {
	var mu sync.Mutex
	failed := map[string]int{}
	fails := func(id string) bool { return strings.HasSuffix(id, "-fails") }
	run := func(x *exchange) bool {
		mu.Lock()
		if fails(x.id) {
			failed[x.id]++
		}
		mu.Unlock()
		if fails(x.id) {
			s.rec.add(x.srv.id, "runs %s: 500", x.id)
			time.Sleep(50 * time.Millisecond)
			return x.whole(http.StatusInternalServerError, "text/plain", "failed")
		}
		s.rec.add(x.srv.id, "runs %s", x.id)
		events, _ := eventTexts(x.id, 1, 9)
		return x.stream(events, 45*time.Millisecond)
	}
	for n := range 6 {
		id, service, m, slots, answer := fmt.Sprintf("i-%d", n), "proofer", model, 4, run
		if n >= 3 {
			service, m, answer = "counter", "", func(x *exchange) bool {
				_, err := io.WriteString(x.conn, x.wholeText(http.StatusOK, "text/plain", "answer to "+x.id))
				return err == nil
			}
		}
		v, err := startServer(s, n, id, service, m, slots, answer)
		if err != nil {
			return nil, err
		}
		defer v.close()
	}
	if err := s.putConfig(1); err != nil {
		return nil, err
	}
	if err := s.awaitServed(); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	var items []item
	for i := range renameItems {
		id := fmt.Sprintf("item-%d", i)
		if i >= renameItems-renameFailing {
			id += "-fails"
		}
		items = append(items, newItem(id, fmt.Sprintf("g%d", i/4)))
	}
	if err := s.submit("step-1", keyA, 1, items); err != nil {
		return nil, err
	}
	next := fmt.Sprintf(config, 2)
	if trouble {
		next = strings.Replace(next, `"name":"r-lots"`, `"name":"r-lots-2"`, 1)
	}
	if err := s.callControl("operator", "POST", "/v1/config/put", next); err != nil {
		return nil, err
	}
	results := s.readAll("step-1", keyA, renameItems, renameLimit)
	s.end("step-1", keyA)
	mu.Lock()
	defer mu.Unlock()
	var broken []string
	for id, n := range failed {
		s.rec.add("case", "%s was answered 500 %d times", id, n)
		if n > 3*renameAttempts {
			broken = append(broken, fmt.Sprintf("BUDGET: %s reached workers %d times and was answered 500 each time; %d such answers are the most. %d of %d items are listed",
				id, n, 3*renameAttempts, len(results), renameItems))
		}
	}
	return broken, nil
}
