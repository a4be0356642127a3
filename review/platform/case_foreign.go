package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	foreignTime = 75 * time.Second
	// foreignEnough is the number of breaks after which the case ends.
	foreignEnough   = 6
	foreignStreams  = 6 * time.Millisecond // between two streams
	foreignOnce     = 4 * time.Millisecond // between two requests that may run once
	foreignEvents   = 40
	foreignGap      = 40 * time.Millisecond
	foreignCrash    = 1200 * time.Millisecond
	foreignDownTime = 900 * time.Millisecond
	foreignServers  = 7
	foreignWork     = 80 * time.Millisecond
)

// sentRequest is what a consumer has sent.
type sentRequest struct {
	tenant, path, body string
	once               bool
}

// ledger compares what servers run with what consumers have sent.
type ledger struct {
	rec    *record
	mu     sync.Mutex
	sent   map[string]sentRequest
	runs   map[string]int
	broken []string
}

func (l *ledger) send(id string, r sentRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[id] = r
	l.rec.add("consumer", "%s sends %s of tenant %s", id, r.path, r.tenant)
}

func (l *ledger) fail(format string, args ...any) {
	l.broken = append(l.broken, fmt.Sprintf(format, args...))
}

// ran checks a request that a server begins to run.
func (l *ledger) ran(x *exchange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	tenant := x.req.Header.Get("Plantainbank-Tenant")
	l.rec.add(x.srv.id, "runs %s %s, tenant %s, Last-Event-Id %q, body %q", x.id, x.req.URL.Path, tenant, x.req.Header.Get("Last-Event-Id"), x.body)
	r, ok := l.sent[x.id]
	l.runs[x.id]++
	switch {
	case !ok:
		l.fail("UNASKED: %s runs %q, which no consumer sent", x.srv.id, x.id)
	case tenant != r.tenant:
		l.fail("UNASKED: %s runs %s for tenant %s, its consumer's key is of %s", x.srv.id, x.id, tenant, r.tenant)
	case x.req.URL.Path != r.path || string(x.body) != r.body:
		l.fail("UNASKED: %s runs %s as %s %q, its consumer sent %s %q", x.srv.id, x.id, x.req.URL.Path, x.body, r.path, r.body)
	}
	if ok && r.once && l.runs[x.id] > 1 {
		l.fail("TWICE: %s, which may run once, runs %d times", x.id, l.runs[x.id])
	}
}

// rawSend opens a channel, sends a request and returns the head of the answer.
func rawSend(addr, path, id, key, body string) (net.Conn, *http.Response, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, nil, err
	}
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nPlantainbank-Request-Id: %s\r\nPlantainbank-Deadline-Ms: 5000\r\nContent-Length: %d\r\n\r\n%s",
		path, hostName, key, id, len(body), body); err != nil {
		c.Close()
		return nil, nil, err
	}
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		c.Close()
		return nil, nil, err
	}
	return c, res, nil
}

// stream reads some events of a stream and leaves, as consumers do.
func (l *ledger) stream(s *site, n int) {
	id, leave := fmt.Sprintf("stream-%d", n), 1+rand.IntN(6)
	r := sentRequest{tenant: tenantA, path: "/streams/" + id, body: "body of " + id}
	l.send(id, r)
	c, res, err := rawSend(s.addr("entry", n%s.size.entry, portFront), r.path, id, keyA, r.body)
	if err != nil {
		return
	}
	defer c.Close()
	if res.StatusCode != 200 {
		return
	}
	sc := bufio.NewScanner(res.Body)
	want := 1
	for sc.Scan() && want <= leave {
		text, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		if full := fmt.Sprintf("event %d of %s", want, id); text != full {
			l.mu.Lock()
			l.fail("ORDER: the consumer of %s gets %q, want %q", id, text, full)
			l.mu.Unlock()
			return
		}
		want++
	}
	// Events that it has not read are left in its channel, which is reset by that.
	time.Sleep(foreignGap + time.Duration(rand.Int64N(int64(foreignGap))))
	l.rec.add("consumer", "%s leaves after %d events", id, want-1)
}

// once sends a request that may run once.
func (l *ledger) once(s *site, n int) {
	id := fmt.Sprintf("once-%d", n)
	r := sentRequest{tenant: tenantB, path: "/once/" + id, body: "body of " + id, once: true}
	l.send(id, r)
	c, res, err := rawSend(s.addr("entry", n%s.size.entry, portFront), r.path, id, keyB, r.body)
	if err != nil {
		l.rec.add("consumer", "%s gets no answer: %v", id, err)
		return
	}
	defer c.Close()
	data, err := io.ReadAll(res.Body)
	if err == nil && res.StatusCode == 200 && !bytes.Equal(data, []byte("answer to "+id)) {
		l.mu.Lock()
		l.fail("MIXED: the consumer of %s gets %q", id, data)
		l.mu.Unlock()
	}
}

// answer answers as a server of the service counter.
func (l *ledger) answer(x *exchange) bool {
	l.ran(x)
	if !strings.HasPrefix(x.req.URL.Path, "/streams/") {
		time.Sleep(foreignWork)
		return x.whole(http.StatusOK, "text/plain", "answer to "+x.id)
	}
	first := 1
	if n, err := strconv.Atoi(x.req.Header.Get("Last-Event-Id")); err == nil {
		first = n + 1
	}
	events, _ := eventTexts(x.id, first, foreignEvents)
	return x.stream(events, foreignGap)
}

// playForeignStreams plays consumers that leave streams, beside requests of another tenant on new
// channels, while servers crash one after the other.
func playForeignStreams(s *site, trouble bool) ([]string, error) {
	l := &ledger{rec: s.rec, sent: map[string]sentRequest{}, runs: map[string]int{}}
	var servers []*server
	boots := 0
	boot := func(n int) (*server, error) {
		boots++
		return startServer(s, n, fmt.Sprintf("i-%d-%d", n, boots), "counter", "", 60, l.answer)
	}
	for n := range foreignServers {
		v, err := boot(n)
		if err != nil {
			return nil, err
		}
		servers = append(servers, v)
	}
	defer func() {
		for _, v := range servers {
			v.close()
		}
	}()
	if err := s.putConfig(1); err != nil {
		return nil, err
	}
	for i := range s.size.entry {
		n := 0
		if err := waitFor("entry to serve", 20*time.Second, func() bool {
			n++
			id := fmt.Sprintf("warm-%d-%d", i, n)
			l.send(id, sentRequest{tenant: tenantA, path: "/lohu930/x", body: "b"})
			return s.once(i, "POST", "/lohu930/x", id, keyA, 1500*time.Millisecond, []byte("b"), nil).status == 200
		}); err != nil {
			return nil, err
		}
	}
	end := time.Now().Add(foreignTime)
	over := func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return len(l.broken) >= foreignEnough || !time.Now().Before(end)
	}
	var wg sync.WaitGroup
	load := func(pause time.Duration, f func(*site, int)) {
		for n := 0; !over(); n++ {
			wg.Go(func() { f(s, n) })
			time.Sleep(pause)
		}
	}
	wg.Go(func() { load(foreignStreams, l.stream) })
	wg.Go(func() { load(foreignOnce, l.once) })
	for n := 0; trouble && !over(); n++ {
		time.Sleep(foreignCrash - foreignDownTime)
		i := n % len(servers)
		s.rec.add("platform", "%s crashes", servers[i].id)
		servers[i].close()
		time.Sleep(foreignDownTime)
		v, err := boot(i)
		if err != nil {
			return nil, err
		}
		servers[i] = v
	}
	wg.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	for n, c := range s.ownEnds() {
		l.fail("the process %s ended by itself %d times", n, c)
	}
	return l.broken, nil
}
