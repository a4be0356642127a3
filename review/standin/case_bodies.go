package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// playLargeBodies lets consumers send requests with large bodies, each within the limits of the
// configuration, while others send small requests. The platform kills a process that uses more memory
// than its limit.
func playLargeBodies(s *site, trouble bool) ([]string, error) {
	const (
		uploads   = 4
		bodyBytes = 30 << 20
		work      = 400 * time.Millisecond
	)
	var mu sync.Mutex
	began := map[string]bool{}
	_, err := startServer(s, 0, "i-counter", "counter", "", 24, func(x *exchange) bool {
		mu.Lock()
		began[x.id] = true
		mu.Unlock()
		if len(x.body) > 1000 {
			s.rec.add(x.srv.id, "runs %s with %d bytes", x.id, len(x.body))
		}
		time.Sleep(work)
		return x.whole(http.StatusOK, "text/plain", "done")
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
	done := make(chan struct{})
	killed := s.limitMemory("entry-0", s.size.entryMB, done)
	var wg sync.WaitGroup
	var lost atomic.Int32
	stop := make(chan struct{})
	for i := range 6 {
		wg.Go(func() {
			c := newChannel()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				id := fmt.Sprintf("small-%d-%d", i, n)
				a := s.send(c, 0, "POST", "/once/x", id, keyA, 5*time.Second, []byte("b"), nil)
				mu.Lock()
				passedOn := began[id]
				mu.Unlock()
				if a.status == 0 {
					s.rec.add("consumer", "%s: %v, passed on: %v", id, a.err, passedOn)
					if passedOn {
						lost.Add(1)
					}
					time.Sleep(100 * time.Millisecond)
				}
			}
		})
	}
	time.Sleep(time.Second)
	if trouble {
		body := bytes.Repeat([]byte("x"), bodyBytes)
		var up sync.WaitGroup
		for i := range uploads {
			up.Go(func() {
				id := fmt.Sprintf("large-%d", i)
				s.rec.add("consumer", "sends %s with %d bytes", id, len(body))
				a := s.once(0, "POST", "/once/large", id, keyA, 8*time.Second, body, nil)
				s.rec.add("consumer", "%s: %d %v", id, a.status, a.err)
			})
		}
		up.Wait()
	}
	time.Sleep(time.Second)
	close(stop)
	wg.Wait()
	close(done)
	s.rec.add("case", "entry-0 was killed for its memory: %d times; %d small requests lost", killed.Load(), lost.Load())
	if lost.Load() > 3 {
		return []string{fmt.Sprintf("LOST: %d requests were passed on to a sound server and their channels closed without an answer; the process had used more than its memory", lost.Load())}, nil
	}
	return nil, nil
}

// limitMemory kills a process that uses more memory than its limit, as the platform does. It counts how
// often.
func (s *site) limitMemory(n string, limitMB int, done chan struct{}) *atomic.Int32 {
	var kills atomic.Int32
	go func() {
		most := 0
		for {
			select {
			case <-done:
				s.rec.add("platform", "%s used %d MB at most", n, most)
				return
			case <-time.After(5 * time.Millisecond):
			}
			s.mu.Lock()
			p := s.procs[n]
			s.mu.Unlock()
			mb := residentMB(p.cmd.Process.Pid)
			most = max(most, mb)
			if mb > limitMB {
				s.rec.add("platform", "%s uses %d MB, its limit is %d MB: killed", n, mb, limitMB)
				_ = p.cmd.Process.Kill()
				<-p.done
				kills.Add(1)
				time.Sleep(restartDelay)
			}
		}
	}()
	return &kills
}

// residentMB returns the resident memory of a process, zero if it has ended.
func residentMB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(f[1])
			return kb / 1024
		}
	}
	return 0
}
