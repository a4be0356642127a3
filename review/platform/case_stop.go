package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// playSlowStop sends SIGTERM to an entry host. Consumers with a channel to it ask for a stream more than 3 s
// later. The stream has as many events as the longest ones of the sheet. The host has read the request
// and passed it on, so the channel must not end without a complete answer.
func playSlowStop(s *site, trouble bool) ([]string, error) {
	const (
		events = 75
		pause  = 55 * time.Millisecond
	)
	var mu sync.Mutex
	began := map[string]time.Time{}
	_, err := startServer(s, 0, "i-counter", "counter", "", 6, func(x *exchange) bool {
		if x.req.URL.Path != "/tales/slow" {
			time.Sleep(25 * time.Millisecond)
			return x.whole(http.StatusOK, "text/plain", "done")
		}
		mu.Lock()
		began[x.id] = time.Now()
		mu.Unlock()
		s.rec.add(x.srv.id, "begins to run %s", x.id)
		all, _ := eventTexts(x.id, 1, events)
		ok := x.stream(all, pause)
		s.rec.add(x.srv.id, "ends its work on %s, all events sent: %v", x.id, ok)
		return ok
	})
	if err != nil {
		return nil, err
	}
	if err := s.putConfig(7); err != nil {
		return nil, err
	}
	if err := s.awaitServed(); err != nil {
		return nil, err
	}
	time.Sleep(contactTime + time.Second)
	// The consumers have used their channels a moment before.
	const consumers = 4
	channels := make([]*http.Client, consumers)
	for i := range channels {
		channels[i] = newChannel()
		a := s.send(channels[i], 0, "POST", "/lohu930/x", fmt.Sprintf("first-%d", i), keyA, 1500*time.Millisecond, []byte("b"), nil)
		s.rec.add("consumer", "first-%d: %d", i, a.status)
	}
	term := time.Now()
	if trouble {
		s.signal("entry-0", syscall.SIGTERM, make(chan struct{}))
	}
	var wg sync.WaitGroup
	answers := make([]answer, consumers)
	sent, closed := make([]time.Time, consumers), make([]time.Time, consumers)
	for i := range consumers {
		wg.Go(func() {
			time.Sleep(time.Until(term.Add(3050*time.Millisecond + time.Duration(i)*100*time.Millisecond)))
			sent[i] = time.Now()
			answers[i] = s.send(channels[i], 0, "POST", "/tales/slow", fmt.Sprintf("slow-%d", i), keyA, 9*time.Second, []byte("b"), nil)
			closed[i] = time.Now()
			s.rec.add("consumer", "slow-%d, sent %.2f s after SIGTERM: %d %v, %.2f s after it was sent", i, sent[i].Sub(term).Seconds(),
				answers[i].status, answers[i].err, closed[i].Sub(sent[i]).Seconds())
		})
	}
	wg.Wait()
	time.Sleep(time.Until(term.Add(graceTime + 500*time.Millisecond)))
	mu.Lock()
	defer mu.Unlock()
	var broken []string
	for i := range consumers {
		id := fmt.Sprintf("slow-%d", i)
		if _, passedOn := began[id]; passedOn && answers[i].status == 0 && sent[i].Sub(term) > 3*time.Second {
			broken = append(broken, fmt.Sprintf("LOST: %s was passed on to a server, and its channel ended %.2f s after SIGTERM without a complete answer", id, closed[i].Sub(term).Seconds()))
		}
	}
	return broken, nil
}
