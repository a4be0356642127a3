package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// playCoreKilled replaces a server of a plain service: a new one starts, and then the old one leaves by
// calling deregister, as workers do that never report that they drain. Shortly after that call is
// acknowledged, all control processes are killed, and they are back within a second with their disks.
// The old server goes on serving for some seconds; it must get no requests then.
func playCoreKilled(s *site, trouble bool) ([]string, error) {
	type arrival struct {
		server, id string
		at         time.Time
	}
	var mu sync.Mutex
	var arrivals []arrival
	serve := func(x *exchange) bool {
		mu.Lock()
		arrivals = append(arrivals, arrival{x.srv.id, x.id, time.Now()})
		mu.Unlock()
		time.Sleep(25 * time.Millisecond)
		return x.whole(http.StatusOK, "text/plain", "done")
	}
	var servers []*server
	for i := range 3 {
		v, err := startServer(s, i, fmt.Sprintf("i-c%d", i), "counter", "", 6, serve)
		if err != nil {
			return nil, err
		}
		servers = append(servers, v)
	}
	if err := s.putConfig(7); err != nil {
		return nil, err
	}
	if err := s.awaitServed(); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for n := range consumersPerEntry * s.size.entry {
		wg.Go(func() { s.keepSending(n%s.size.entry, n, stop) })
	}
	time.Sleep(contactTime + time.Second) // all machines are in touch

	if _, err := startServer(s, 3, "i-new", "counter", "", 6, serve); err != nil {
		return nil, err
	}
	s.rec.add("i-new", "starts")
	time.Sleep(400 * time.Millisecond)
	old := servers[0]
	if err := old.deregister(); err != nil {
		return nil, err
	}
	acked := time.Now()
	back := acked
	if trouble {
		time.Sleep(150 * time.Millisecond)
		rest := make(chan struct{})
		for i := range s.size.control {
			s.signal(name("control", i), syscall.SIGKILL, rest)
		}
		time.Sleep(500 * time.Millisecond)
		close(rest)
		time.Sleep(100 * time.Millisecond)
		back = time.Now()
	}
	// The pages let a worker serve for drain_ms after the ack and a little longer, at times many seconds.
	time.Sleep(time.Until(back.Add(contactTime + 7*time.Second)))
	close(stop)
	wg.Wait()
	old.close()
	mu.Lock()
	defer mu.Unlock()
	// The core is stable again contact_ms after its processes were started, and entry hosts are in touch.
	from := acked.Add(drainTime)
	if t := back.Add(contactTime + 100*time.Millisecond); trouble && t.After(from) {
		from = t
	}
	late := 0
	for _, a := range arrivals {
		if a.server == old.id && a.at.After(from) {
			late++
			s.rec.add(a.server, "request %s arrived %.1f s after the ack of its leaving", a.id, a.at.Sub(acked).Seconds())
		}
	}
	s.rec.add("case", "%d requests reached %s later than drain_ms after the ack, from machines in touch", late, old.id)
	if late > 0 {
		return []string{fmt.Sprintf("DRAIN: %d requests reached %s, which had left, later than drain_ms after the ack, from machines in touch", late, old.id)}, nil
	}
	return nil, nil
}

// consumersPerEntry is the number of consumers with a channel to each entry host.
const consumersPerEntry = 5

// keepSending sends plain requests of a consumer through an entry host until stop is closed.
func (s *site) keepSending(entry, consumer int, stop chan struct{}) {
	c := newChannel()
	defer c.CloseIdleConnections()
	failed := 0
	for n := 0; ; n++ {
		select {
		case <-stop:
			s.rec.add("consumer", "%d sent %d requests to entry-%d, %d without success", consumer, n, entry, failed)
			return
		case <-time.After(time.Duration(30+rand.IntN(60)) * time.Millisecond):
		}
		id := fmt.Sprintf("p-%d-%d", consumer, n)
		if a := s.send(c, entry, "POST", "/lohu930/x", id, keyA, 1500*time.Millisecond, []byte("b"), nil); a.status != 200 {
			failed++
			s.rec.add("consumer", "%s at entry-%d: %d %v", id, entry, a.status, a.err)
		}
	}
}
