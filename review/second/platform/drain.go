package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// drainTime is drain_ms of a small deployment.
const drainTime = 2 * time.Second

func init() { cases["drain"] = drain }

// drain plays the planned shutdown of one of three servers, which numbers its announcements by the milliseconds
// of its clock. Without the trouble it numbers them one by one.
func drain(trouble bool) testCase {
	var mu sync.Mutex
	sent := map[string]time.Time{}
	var late []string
	var acked time.Time
	var servers []*server
	return testCase{entries: 2, config: config(2, route("order", "/order/", "non_idempotent", "counter", nil)),
		servers: func(d *deployment) error {
			for i := range 3 {
				s, err := d.startServer(i, "counter", func(s *server, w http.ResponseWriter, r *http.Request, _ []byte) {
					id := r.Header.Get("Plantainbank-Request-Id")
					mu.Lock()
					leaving := s == servers[0] && !acked.IsZero()
					if leaving && sent[id].Sub(acked) > drainTime {
						late = append(late, id)
						d.rec.add("%s runs %s, sent %v after its leaving was acknowledged", s.id, id, sent[id].Sub(acked).Round(time.Millisecond))
					}
					mu.Unlock()
					time.Sleep(25 * time.Millisecond)
					io.WriteString(w, "done "+id)
				}, nil)
				if err != nil {
					return err
				}
				mu.Lock()
				servers = append(servers, s)
				mu.Unlock()
				if i == 0 && trouble {
					s.mu.Lock()
					s.step = func(uint64) uint64 { return uint64(time.Now().UnixMilli()) }
					s.mu.Unlock()
				}
			}
			return nil
		},
		play: func(d *deployment) (string, error) {
			time.Sleep(3 * time.Second)
			servers[0].setState("draining")
			n, failed := 0, 0
			var wg sync.WaitGroup
			for end := time.Now().Add(9 * time.Second); time.Now().Before(end); time.Sleep(40 * time.Millisecond) {
				if ms := servers[0].acked.Load(); ms > 0 {
					mu.Lock()
					if acked.IsZero() {
						acked = time.UnixMilli(ms)
						d.rec.add("the leaving of %s was acknowledged", servers[0].id)
					}
					mu.Unlock()
				}
				n++
				id := fmt.Sprintf("order%d", n)
				p := d.entry[n%2]
				mu.Lock()
				sent[id] = time.Now()
				mu.Unlock()
				wg.Go(func() {
					status := d.post(p, "/order/x", id, "key1", "x", nil)
					if status != 200 {
						mu.Lock()
						failed++
						mu.Unlock()
						d.rec.add("caller: %s -> %d", id, status)
					}
				})
			}
			wg.Wait()
			d.rec.add("%d requests, %d failed", n, failed)
			if acked.IsZero() {
				return "", fmt.Errorf("the leaving was not acknowledged")
			}
			if len(late) == 0 {
				return "", nil
			}
			return fmt.Sprintf("DRAIN: %d requests that were sent over %v after the ack reached the leaving server, first %s", len(late), drainTime, late[0]), nil
		}}
}

// post sends a request on a channel of its own and returns the status, 0 without an answer.
func (d *deployment) post(p *process, path, id, key, body string, header map[string]string) int {
	req, err := http.NewRequest("POST", "http://"+p.addr(portFront)+path, strings.NewReader(body))
	if err != nil {
		return 0
	}
	req.Host = "h.example"
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Plantainbank-Request-Id", id)
	req.Header.Set("Plantainbank-Deadline-Ms", "1500")
	for k, v := range header {
		req.Header.Set(k, v)
	}
	client := http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	io.Copy(io.Discard, res.Body)
	return res.StatusCode
}
