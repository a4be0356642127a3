package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Load and disruption of the case. Half of the servers break off a fiftieth of their answers, and half of the
// consumers of streams leave within the time that a stream lasts.
const (
	streamEvents    = 10
	eventPause      = 10 * time.Millisecond
	breakShare      = 0.5
	breakRate       = 0.02
	leaveShare      = 0.5
	streamConsumers = 24
	plainConsumers  = 18
	streamsTime     = 95 * time.Second
	// enough is the number of broken rules after which the case ends.
	enough = 2
)

// playLeftStreams lets consumers of two tenants read streams that may be resumed; some consumers leave early.
// Some servers break off a few of their answers. Other consumers of the tenants send plain requests that
// must run once at most, each on a new channel.
func playLeftStreams(s *site, trouble bool) ([]string, error) {
	x := &leftStreams{s: s, trouble: trouble, runs: map[string][]string{}}
	for i := range 6 {
		broken := &brokenAnswers{faulty: trouble && float64(i) < 6*breakShare}
		if _, err := startServer(s, i, fmt.Sprintf("i-c%d", i), "counter", "", 12, func(e *exchange) bool { return x.serve(e, broken) }); err != nil {
			return nil, err
		}
	}
	if err := s.putConfig(7); err != nil {
		return nil, err
	}
	if err := s.awaitServed(); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	repeat := func(n int, kind string, send func(entry int, id, key string)) {
		for i := range n {
			owner, key := "a", keyA
			if i%2 == 1 {
				owner, key = "b", keyB
			}
			wg.Go(func() {
				for k := 0; ; k++ {
					select {
					case <-stop:
						return
					default:
						send(i%s.size.entry, fmt.Sprintf("%s-%s%d-%d", kind, owner, i, k), key)
					}
				}
			})
		}
	}
	repeat(streamConsumers, "stream", x.readStream)
	repeat(plainConsumers, "once", func(entry int, id, key string) {
		a := s.once(entry, "POST", "/once/x", id, key, 1500*time.Millisecond, []byte("body of "+id), nil)
		if a.status != http.StatusOK {
			s.rec.add("consumer", "%s: %d %v", id, a.status, a.err)
		}
	})
	for end := time.Now().Add(streamsTime); time.Now().Before(end) && len(x.check()) < enough; {
		time.Sleep(time.Second)
	}
	close(stop)
	wg.Wait()
	s.rec.add("case", "%d streams were sent, consumers left %d, servers broke off %d; %d requests ran", x.sent.Load(), x.left.Load(), x.broke.Load(), len(x.runs))
	return x.check(), nil
}

type leftStreams struct {
	s                 *site
	trouble           bool
	sent, left, broke atomic.Int32
	mu                sync.Mutex
	// runs holds what the servers ran, by request ID.
	runs map[string][]string
}

// brokenAnswers counts the answers that a server has broken off.
type brokenAnswers struct {
	faulty bool
	mu     sync.Mutex
	n      int
}

// next returns after how many events the next answer is broken off, or false.
func (b *brokenAnswers) next(answers int) (after int, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.faulty || float64(b.n+1) > breakRate*float64(answers) {
		return 0, false
	}
	b.n++
	return 1 + rand.IntN(streamEvents-1), true
}

func (x *leftStreams) serve(e *exchange, broken *brokenAnswers) bool {
	if !strings.HasPrefix(e.id, "warm") {
		x.mu.Lock()
		x.runs[e.id] = append(x.runs[e.id], fmt.Sprintf("at %s: %s %s for tenant %s, Last-Event-Id %q, body %q", e.srv.id, e.req.Method, e.req.URL.Path,
			e.req.Header.Get("Plantainbank-Tenant"), e.req.Header.Get("Last-Event-Id"), e.body))
		x.mu.Unlock()
	}
	if !strings.HasPrefix(e.req.URL.Path, "/streams/") {
		time.Sleep(60 * time.Millisecond)
		return e.whole(http.StatusOK, "text/plain", "done")
	}
	first := 1
	if last := e.req.Header.Get("Last-Event-Id"); last != "" {
		fmt.Sscanf(last, "%d", &first)
		first++
	}
	events, _ := eventTexts(e.id, first, streamEvents)
	after, ok := broken.next(e.srv.answered())
	if !ok || after >= len(events) {
		return e.stream(events, eventPause)
	}
	x.broke.Add(1)
	e.srv.count()
	if _, err := io.WriteString(e.conn, e.head(200)+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
		return false
	}
	for _, event := range events[:after] {
		time.Sleep(eventPause)
		if _, err := fmt.Fprintf(e.conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
	}
	time.Sleep(eventPause / 2)
	return false
}

// readStream reads a stream on a new channel. Some consumers leave early.
func (x *leftStreams) readStream(entry int, id, key string) {
	c, err := net.Dial("tcp", x.s.addr("entry", entry, portFront))
	if err != nil {
		return
	}
	x.sent.Add(1)
	var once sync.Once
	closeIt := func() { once.Do(func() { c.Close() }) }
	defer closeIt()
	if x.trouble && rand.Float64() < leaveShare {
		leave := time.AfterFunc(time.Duration(rand.Float64()*streamEvents*float64(eventPause)), func() {
			x.left.Add(1)
			closeIt()
		})
		defer leave.Stop()
	}
	fmt.Fprintf(c, "POST /streams/x HTTP/1.1\r\nHost: %s\r\nPlantainbank-Request-Id: %s\r\nPlantainbank-Deadline-Ms: 9000\r\nAuthorization: Bearer %s\r\nContent-Length: 1\r\n\r\nb",
		hostName, id, key)
	br := bufio.NewReader(c)
	for {
		line, err := br.ReadString('\n')
		if err != nil || line == "0\r\n" {
			return
		}
	}
}

// check returns what broke a rule.
func (x *leftStreams) check() (broken []string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for id, all := range x.runs {
		if strings.HasPrefix(id, "warm") {
			continue
		}
		plain, tenant := strings.HasPrefix(id, "once-"), tenantA
		if strings.Contains(id, "-b") {
			tenant = tenantB
		}
		if plain && len(all) > 1 {
			broken = append(broken, fmt.Sprintf("TWICE: %s ran %d times: %s", id, len(all), strings.Join(all, "; ")))
		}
		for _, run := range all {
			if !strings.Contains(run, "for tenant "+tenant) {
				broken = append(broken, fmt.Sprintf("UNASKED: %s ran %s", id, run))
			}
		}
	}
	return broken
}
