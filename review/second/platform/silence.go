package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// silentStreams is the number of streams that run when the host is told to stop.
	silentStreams = 6
	// streamEvents is the number of events of each, streamTime the time from the first to the last.
	streamEvents = 6
	streamTime   = 3 * time.Second
)

func init() { cases["silence"] = silence }

// silence plays planned work, a SIGTERM of the host that took streams, while the servers of the streams
// are silent for streamTime between two events. Without the trouble the events are spread evenly.
func silence(trouble bool) testCase {
	var mu sync.Mutex
	complete := map[string]bool{}
	return testCase{entries: 2, config: config(2, route("chat", "/chat/", "streaming", "proofer", map[string]any{"sticky": true})),
		servers: func(d *deployment) error {
			for i := range 3 {
				_, err := d.startServer(i, "proofer", func(s *server, w http.ResponseWriter, r *http.Request, _ []byte) {
					id := r.Header.Get("Plantainbank-Request-Id")
					d.rec.add("%s begins %s", s.id, id)
					w.Header().Set("Plantainbank-Weight-Versions", "1")
					err := events(w, 1, streamEvents, func(i int) string { return fmt.Sprintf("%s-%d", id, i) }, func(i int) {
						switch {
						case i == 1:
						case !trouble:
							time.Sleep(streamTime / (streamEvents - 1))
						case i == 2:
							time.Sleep(streamTime)
						}
					})
					if err == nil && r.Context().Err() == nil {
						mu.Lock()
						complete[id] = true
						mu.Unlock()
					}
					d.rec.add("%s ends %s: written %v, channel %v", s.id, id, err, r.Context().Err())
				}, map[string]uint64{"m0": 1})
				if err != nil {
					return err
				}
			}
			return nil
		},
		play: func(d *deployment) (string, error) {
			var wg sync.WaitGroup
			cut := make([]string, silentStreams)
			for i := range silentStreams {
				wg.Go(func() {
					id := fmt.Sprintf("stream%d", i)
					start := time.Now()
					n, err := readStream(d, d.entry[0], id)
					d.rec.add("caller: %s ended after %v with %d of %d events: %v", id, time.Since(start).Round(time.Millisecond), n, streamEvents, err)
					if err != nil || n != streamEvents {
						cut[i] = fmt.Sprintf("%s after %d events (%v)", id, n, err)
					}
				})
			}
			time.Sleep(300 * time.Millisecond)
			d.signal(d.entry[0], syscall.SIGTERM)
			wg.Wait()
			var out []string
			for _, c := range cut {
				if c != "" {
					out = append(out, c)
				}
			}
			if len(out) == 0 {
				return "", nil
			}
			return "LOST: cut around a SIGTERM: " + strings.Join(out, ", "), nil
		}}
}

// readStream sends a request for a stream on a new channel and returns the number of its complete events. It
// waits longer than callers do after a gap: four times the objective of 1.5 s.
func readStream(d *deployment, p *process, id string) (n int, err error) {
	c, err := net.Dial("tcp4", p.addr(portFront))
	if err != nil {
		return 0, err
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		return 0, err
	}
	fmt.Fprintf(c, "POST /chat/%s HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer key1\r\nPlantainbank-Request-Id: %s\r\n"+
		"Plantainbank-Deadline-Ms: 10000\r\nPlantainbank-Model: m0\r\nPlantainbank-Token-Usage: 20,300\r\nContent-Length: 2\r\n\r\nhi", id, id)
	d.rec.add("caller: sent %s", id)
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	if res.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("status %d", res.StatusCode)
	}
	data, err := io.ReadAll(res.Body)
	return strings.Count(string(data), "\n\n"), err
}
