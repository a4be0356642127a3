package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The late answers of the faulty engine stay within share 0.5 of the workers and 0.02 of their answers.
const (
	faultyEngines  = 1
	lateAnswerRate = 0.02
)

// playLate422 submits steps of a trainer in which a few items can never be done. One of three engines is
// faulty: it sends a few of its answers twice, the second time where the next answer on the channel is
// expected. The text of every other item must be complete.
func playLate422(s *site, trouble bool) ([]string, error) {
	var mu sync.Mutex
	rejected := map[string]int{} // the 422 answers, by item
	late := 0
	hopeless := func(id string) bool { return strings.HasSuffix(id, "-never") }
	engine := func(faulty bool) func(x *exchange) bool {
		return func(x *exchange) bool {
			if ch := x.channel; ch.late != nil {
				x.srv.s.rec.add(x.srv.id, "sends its answer to %s once more, where the answer to %s is expected", ch.lateID, x.id)
				_, err := x.conn.Write(ch.late)
				if ch.late = nil; err != nil {
					return false
				}
			}
			if hopeless(x.id) {
				mu.Lock()
				rejected[x.id]++
				again := faulty && trouble && float64(late+1) <= lateAnswerRate*float64(x.srv.answered())
				if again {
					late++
				}
				mu.Unlock()
				text := x.wholeText(http.StatusUnprocessableEntity, "text/plain", "never\n")
				if again {
					x.channel.late, x.channel.lateID = []byte(text), x.id
				}
				x.srv.count()
				x.srv.s.rec.add(x.srv.id, "answers %s with 422", x.id)
				_, err := io.WriteString(x.conn, text)
				return err == nil
			}
			first := 1
			fmt.Sscanf(x.req.Header.Get("Last-Event-Id"), "%d", &first)
			if x.req.Header.Get("Last-Event-Id") != "" {
				first++
			}
			events, _ := eventTexts(x.id, first, eventsPerItem)
			x.srv.s.rec.add(x.srv.id, "runs %s from event %d", x.id, first)
			return x.stream(events, 15*time.Millisecond)
		}
	}
	var engines []*server
	for i := range 3 {
		v, err := startServer(s, i, fmt.Sprintf("i-e%d", i), "proofer", model, 12, engine(i < faultyEngines))
		if err != nil {
			return nil, err
		}
		engines = append(engines, v)
	}
	if err := s.startCounter(3); err != nil {
		return nil, err
	}
	var broken []string
	for step := range 4 {
		id := fmt.Sprintf("7c41e09b52d6a3f%d", step)
		var items []item
		for i := range 172 {
			name := fmt.Sprintf("e%d-%d", step, i)
			if i%20 == 19 {
				name += "-never"
			}
			items = append(items, newItem(name, fmt.Sprintf("g%d-%d", step, i/4)))
		}
		if err := s.submit(id, keyA, step, items); err != nil {
			return nil, err
		}
		all := s.readAll(id, keyA, len(items), 12*time.Second)
		s.end(id, keyA)
		mu.Lock()
		for _, r := range all {
			_, text := eventTexts(r.ID, 1, eventsPerItem)
			switch {
			case r.State == "dead" && rejected[r.ID] == 0:
				broken = append(broken, fmt.Sprintf("MIXED: item %s of %s is listed as dead; no server answered it with 422 or 500, and its time was not up", r.ID, id))
			case r.State == "completed" && r.Text != text:
				broken = append(broken, fmt.Sprintf("MIXED: item %s of %s has the text %q", r.ID, id, r.Text))
			}
		}
		mu.Unlock()
		if len(all) < len(items) {
			return nil, fmt.Errorf("read %d results of %d", len(all), len(items))
		}
	}
	s.rec.add("case", "%d answers of engines were sent twice; the faulty engine gave %d answers", late, engines[0].answered())
	if trouble && late == 0 {
		return nil, fmt.Errorf("no answer was sent twice")
	}
	return broken, nil
}

// eventsPerItem is the number of events of a short item.
const eventsPerItem = 6

// startCounter starts a sound plain server as the n-th server, puts the configuration, and waits until
// the entry hosts serve.
func (s *site) startCounter(n int) error {
	_, err := startServer(s, n, "i-counter", "counter", "", 6, func(x *exchange) bool {
		time.Sleep(25 * time.Millisecond)
		return x.whole(http.StatusOK, "text/plain", "done")
	})
	if err != nil {
		return err
	}
	if err := s.putConfig(7); err != nil {
		return err
	}
	return s.awaitServed()
}
