package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// swanfold has the nine entry hosts of the Swanfold deployment.
var swanfold = siteSize{control: 5, store: 3, entry: 9, entryMB: 134}

const (
	coldPerS    = 14.0
	coldOverage = 1.5
	coldSlack   = 5
	coldTime    = 3 * time.Second
	coldDown    = 2 * time.Second
	coldEngines = 3
	coldReturns = 5
	// coldPause is the time between two plain requests at one entry host.
	coldPause = 100 * time.Millisecond
	coldItems = 104
)

// coldLog holds when requests arrived at the boots of the engines.
type coldLog struct {
	mu       sync.Mutex
	arrivals map[string][]time.Time
	stop     chan struct{}
}

func (l *coldLog) answer(x *exchange) bool {
	l.mu.Lock()
	l.arrivals[x.srv.id] = append(l.arrivals[x.srv.id], time.Now())
	l.mu.Unlock()
	x.srv.s.rec.add(x.srv.id, "runs %s", x.id)
	if strings.HasPrefix(x.req.URL.Path, "/pufi791/") {
		events, _ := eventTexts(x.id, 1, 9)
		return x.stream(events, 45*time.Millisecond)
	}
	time.Sleep(25 * time.Millisecond)
	return x.whole(http.StatusOK, "text/plain", "answer to "+x.id)
}

// most returns the most arrivals of a boot in one second of a time, and when that second began.
func (l *coldLog) most(id string, from, to time.Time) (n int, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := slices.DeleteFunc(slices.Clone(l.arrivals[id]), func(t time.Time) bool { return t.Before(from) || t.After(to) })
	for i := range all {
		j := i
		for j < len(all) && all[j].Sub(all[i]) < time.Second {
			j++
		}
		if j-i > n {
			n, at = j-i, all[i]
		}
	}
	return n, at
}

// playColdReturn plays engines that go down together and come back together, cold, beside a trainer
// and plain requests on a route that leads to the engines as well.
func playColdReturn(s *site, trouble bool) ([]string, error) {
	l := &coldLog{arrivals: map[string][]time.Time{}, stop: make(chan struct{})}
	var engines []*server
	for n := range coldEngines + 2 {
		id, service, m, slots := fmt.Sprintf("i-%d", n), "proofer", model, 12
		if n >= coldEngines {
			service, m, slots = "counter", "", 6
		}
		v, err := startServer(s, n, id, service, m, slots, l.answer)
		if err != nil {
			return nil, err
		}
		if n < coldEngines {
			engines = append(engines, v)
		}
	}
	c := strings.Replace(fmt.Sprintf(config, 1), `"priority":2,"service":"counter","max_attempts":2,"public":false},
{"name":"r-once"`, `"priority":2,"backends":[{"service":"proofer","weight":90},{"service":"counter","weight":10}],"max_attempts":2,"public":false},
{"name":"r-once"`, 1)
	c = strings.Replace(c, `"cold_per_s":13.0`, fmt.Sprintf(`"cold_per_s":%.1f`, coldPerS), 1)
	if err := s.callControl("operator", "POST", "/v1/config/put", c); err != nil {
		return nil, err
	}
	if err := s.awaitServed(); err != nil {
		return nil, err
	}
	var wg sync.WaitGroup
	repeat := func(pause time.Duration, f func(n int)) {
		for n := 0; ; n++ {
			select {
			case <-l.stop:
				return
			case <-time.After(pause):
				f(n)
			}
		}
	}
	for entry := range s.size.entry {
		wg.Go(func() {
			repeat(coldPause, func(n int) {
				wg.Go(func() {
					id := fmt.Sprintf("plain-%d-%d", entry, n)
					s.once(entry, "POST", "/lohu930/"+id, id, keyA, 1500*time.Millisecond, []byte("b"), nil)
				})
			})
		})
	}
	wg.Go(func() {
		repeat(time.Second, func(n int) {
			var items []item
			for i := range coldItems {
				items = append(items, newItem(fmt.Sprintf("step-%d-%d", n, i), fmt.Sprintf("g%d", i/8)))
			}
			if s.submit(fmt.Sprintf("step-%d", n), keyB, n, items) == nil && n > 1 {
				s.end(fmt.Sprintf("step-%d", n-2), keyB)
			}
		})
	})
	time.Sleep(4 * time.Second)
	allowed := coldPerS*coldOverage + coldSlack
	var broken []string
	for n := range coldReturns {
		if !trouble {
			time.Sleep(coldDown + coldTime + time.Second)
			continue
		}
		for _, v := range engines {
			v.close()
		}
		s.rec.add("platform", "the engines are down")
		time.Sleep(coldDown)
		start := time.Now()
		for i := range engines {
			v, err := startServerCold(s, i, fmt.Sprintf("i-%d-%d", i, n+1), "proofer", model, 12, coldTime, l.answer)
			if err != nil {
				return nil, err
			}
			engines[i] = v
		}
		time.Sleep(coldTime + time.Second)
		for _, v := range engines {
			most, at := l.most(v.id, start, start.Add(coldTime))
			line := fmt.Sprintf("%s got %d requests in the second from %.2f s after its start, cold; %.1f are allowed", v.id, most, at.Sub(start).Seconds(), allowed)
			s.rec.add("platform", "%s", line)
			if float64(most) > allowed {
				broken = append(broken, "FAILBACK: "+line)
			}
		}
	}
	close(l.stop)
	wg.Wait()
	return broken, nil
}
