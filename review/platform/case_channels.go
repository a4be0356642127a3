package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// channelsUsual is the number of consumers that use an entry host all the while.
	channelsUsual = 20
	// channelsPress is the number of further consumers while consumers press, channelsPause the time
	// between two of them.
	channelsPress = 4200
	channelsPause = time.Millisecond
	channelsWork  = 100 * time.Millisecond
	// channelsCalm is the time after the press. A machine may count as slowed for 5 s after it.
	channelsCalm = 6 * time.Second
	// configApply is config_apply_ms of the deployment.
	configApply  = 2 * time.Second
	channelsWait = 5 * time.Second
	// channelsOwn is the number of descriptors that this process needs.
	channelsOwn = 6000
)

// onceRoute is the route that the second configuration has no more.
var onceRoute = regexp.MustCompile(`\{"name":"r-once".*\n`)

// usual sends requests that may run once, one after the other, on a channel that is kept.
type usual struct {
	s    *site
	mu   sync.Mutex
	runs map[string]int
	// sent is when a request was sent.
	sent map[string]time.Time
	// dropped is when the configuration without the route was acknowledged, zero before.
	dropped time.Time
	stale   []string
	// cut counts the kept channels that were closed without an answer to a request that a server ran.
	cut  []string
	stop chan struct{}
}

func (u *usual) answer(x *exchange) bool {
	u.mu.Lock()
	u.runs[x.id]++
	if sent, ok := u.sent[x.id]; ok && !u.dropped.IsZero() && sent.After(u.dropped.Add(configApply)) {
		u.stale = append(u.stale, fmt.Sprintf("%s, sent %d ms after the ack", x.id, sent.Sub(u.dropped).Milliseconds()))
	}
	u.mu.Unlock()
	if strings.HasPrefix(x.req.URL.Path, "/once/") {
		u.s.rec.add(x.srv.id, "runs %s", x.id)
		time.Sleep(channelsWork)
	}
	return x.whole(http.StatusOK, "text/plain", "answer to "+x.id)
}

// keep sends requests on one channel after another until the time is over.
func (u *usual) keep(entry, consumer int) {
	var c net.Conn
	var br *bufio.Reader
	first := true
	for n := 0; ; n++ {
		select {
		case <-u.stop:
			if c != nil {
				c.Close()
			}
			return
		default:
		}
		if c == nil {
			var err error
			if c, err = net.DialTimeout("tcp", u.s.addr("entry", entry, portFront), time.Second); err != nil {
				c = nil
				time.Sleep(100 * time.Millisecond)
				continue
			}
			br, first = bufio.NewReader(c), true
		}
		id := fmt.Sprintf("once-%d-%d-%d", entry, consumer, n)
		u.mu.Lock()
		u.sent[id] = time.Now()
		u.mu.Unlock()
		_ = c.SetDeadline(time.Now().Add(5 * time.Second))
		_, err := fmt.Fprintf(c, "POST /once/%s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nPlantainbank-Request-Id: %s\r\nPlantainbank-Deadline-Ms: 4000\r\nContent-Length: 1\r\n\r\nb",
			id, hostName, keyA, id)
		var res *http.Response
		if err == nil {
			res, err = http.ReadResponse(br, nil)
		}
		if err == nil {
			_, err = io.Copy(io.Discard, res.Body)
		}
		if err == nil && !res.Close {
			u.s.rec.add("consumer", "%s is answered %d", id, res.StatusCode)
			first = false
			time.Sleep(50 * time.Millisecond)
			continue
		}
		if err != nil {
			u.mu.Lock()
			u.s.rec.add("consumer", "%s gets no answer, kept channel: %v, runs: %d: %v", id, !first, u.runs[id], err)
			if !first && u.runs[id] > 0 {
				u.cut = append(u.cut, id)
			}
			u.mu.Unlock()
		}
		c.Close()
		c = nil
	}
}

// press opens a channel, sends one request that may be repeated and keeps the channel for a while, as
// the idle time of the configuration allows.
func (u *usual) press(n int, until time.Time, count *channelCount) {
	c, res, err := rawSend(u.s.addr("entry", 0, portFront), "/lohu930/x", fmt.Sprintf("press-%d", n), keyB, "b")
	count.add(err, res)
	if err != nil {
		return
	}
	defer c.Close()
	time.Sleep(time.Until(until))
}

type channelCount struct {
	mu               sync.Mutex
	served, not, bad int
}

func (c *channelCount) add(err error, res *http.Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err != nil:
		c.not++
	case res.StatusCode == 200:
		c.served++
	default:
		c.bad++
	}
}

// playManyChannels plays consumers that press: for some seconds they have more channels at one entry
// host than its process has descriptors. Later a configuration drops a route.
func playManyChannels(s *site, trouble bool) ([]string, error) {
	var own syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &own); err != nil || own.Cur < channelsOwn {
		return nil, fmt.Errorf("the consumers need %d descriptors, there are %d: %w", channelsOwn, own.Cur, err)
	}
	u := &usual{s: s, runs: map[string]int{}, sent: map[string]time.Time{}, stop: make(chan struct{})}
	for n := range 3 {
		v, err := startServer(s, n, fmt.Sprintf("i-%d", n), "counter", "", 6, u.answer)
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
	var wg sync.WaitGroup
	for entry := range s.size.entry {
		for n := range channelsUsual {
			wg.Go(func() { u.keep(entry, n) })
		}
	}
	time.Sleep(3 * time.Second)
	if trouble {
		s.rec.add("consumers", "press: %d more channels at entry-0", channelsPress)
		var count channelCount
		until := time.Now().Add(channelsPress*channelsPause + 5*time.Second)
		for n := range channelsPress {
			wg.Go(func() { u.press(n, until, &count) })
			time.Sleep(channelsPause)
		}
		time.Sleep(time.Until(until))
		s.rec.add("platform", "entry-0 has used %s of memory at most, of %d MB", s.peakMemory("entry-0"), s.size.entryMB)
		count.mu.Lock()
		s.rec.add("consumers", "press no more: %d served, %d got another answer, %d none", count.served, count.bad, count.not)
		count.mu.Unlock()
	}
	time.Sleep(channelsCalm)
	if err := s.callControl("operator", "POST", "/v1/config/put", onceRoute.ReplaceAllString(fmt.Sprintf(config, 2), "")); err != nil {
		return nil, err
	}
	u.mu.Lock()
	u.dropped = time.Now()
	u.mu.Unlock()
	time.Sleep(configApply + time.Second)
	hung := 0
	for n := range 3 {
		for entry := range s.size.entry {
			id := fmt.Sprintf("new-%d-%d", entry, n)
			a := s.once(entry, "POST", "/lohu930/x", id, keyA, channelsWait, []byte("b"), nil)
			s.rec.add("consumer", "%s on a new channel to entry-%d: %d %v", id, entry, a.status, a.err)
			if entry == 0 && a.status == 0 {
				hung++
			}
		}
	}
	close(u.stop)
	wg.Wait()
	u.mu.Lock()
	defer u.mu.Unlock()
	var broken []string
	if n := len(u.stale); n > 0 {
		broken = append(broken, fmt.Sprintf("CONFIG: %d requests were run by a route that was dropped, the first is %s", n, u.stale[0]))
	}
	if hung == 3 {
		broken = append(broken, fmt.Sprintf("the process entry-0 hangs: %d new channels in a row got no answer in %v", hung, channelsWait))
	}
	if len(u.cut) > 3 {
		broken = append(broken, fmt.Sprintf("LOST: %d requests of kept channels were passed on to a sound server and their channels closed without an answer", len(u.cut)))
	}
	for n, c := range s.ownEnds() {
		broken = append(broken, fmt.Sprintf("the process %s ended by itself %d times", n, c))
	}
	return broken, nil
}
