package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// memorySubmissions is the number of batch submissions, each of a tenant of its own node.
	memorySubmissions = 3
	// memoryItems is the number of items of each, and memoryItemsUsual that of the users' sheet: 26 groups of 8.
	memoryItems, memoryItemsUsual = 20000, 208
	// memoryBody is the size of an item's body on the sheet.
	memoryBody = 600
	// submitTime is the callers' time limit for a submission.
	submitTime = 12 * time.Second
	// memoryTime is how long the processes are watched, memoryFinish how long the submissions are read after it.
	memoryTime, memoryFinish = 60 * time.Second, 10 * time.Second
	// restartDelay is the delay before a process that was killed is started again.
	restartDelay = 500 * time.Millisecond
)

func init() { cases["memory"] = memory }

// memory plays batch submissions that are within max_body_bytes. The platform kills a process that uses more
// than its memory_mb and starts it again. Without the trouble the submissions have the size of the sheet.
func memory(trouble bool) testCase {
	items := memoryItems
	if !trouble {
		items = memoryItemsUsual
	}
	r := route("rollout", "/rollout/", "rollout", "proofer", map[string]any{"target_latency_ms": 400, "max_attempts": 3, "item_ttl_s": 40.0,
		"deadline_ms": 7500, "single_version": false, "sticky": true, "resumable": true})
	return testCase{entries: 3, config: config(2, r), memory: map[string]int{"entry": 134, "control": 280, "store": 154},
		servers: func(d *deployment) error {
			for i := range 11 {
				_, err := d.startServer(i, "proofer", func(s *server, w http.ResponseWriter, r *http.Request, _ []byte) {
					from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
					w.Header().Set("Plantainbank-Weight-Versions", "1")
					_ = events(w, from+1, 9, func(i int) string { return fmt.Sprintf("event %d", i) }, func(int) { time.Sleep(45 * time.Millisecond) })
				}, map[string]uint64{"m0": 1})
				if err != nil {
					return err
				}
			}
			return nil
		},
		play: func(d *deployment) (string, error) {
			stop := make(chan struct{})
			var watchers, callers sync.WaitGroup
			ends := make([]int, len(d.all()))
			for i, p := range d.all() {
				watchers.Go(func() { ends[i] = d.limitMemory(p, stop) })
			}
			accepted := make([]bool, memorySubmissions)
			end := time.Now().Add(memoryTime)
			for k := range memorySubmissions {
				callers.Go(func() { accepted[k] = d.submit(k, items, time.Now().Add(submitTime)) })
			}
			callers.Wait()
			time.Sleep(time.Until(end))
			unread := d.readAll(accepted)
			close(stop)
			watchers.Wait()
			var ended []string
			crashed := 0
			for i, p := range d.all() {
				if ends[i] > 0 {
					ended = append(ended, fmt.Sprintf("%s %d times", p.name, ends[i]))
				}
				if ends[i] >= 3 {
					crashed++
				}
			}
			d.rec.add("over their memory: %s; accepted submissions that can't be read: %v", strings.Join(ended, ", "), unread)
			var broken []string
			if crashed >= 2 {
				broken = append(broken, fmt.Sprintf("Fault: processes ended over their memory on %d of %d machines three times or more: %s",
					crashed, len(ends), strings.Join(ended, ", ")))
			}
			if len(unread) > 0 {
				broken = append(broken, fmt.Sprintf("LOST: accepted submissions can't be read at the end: %v", unread))
			}
			return strings.Join(broken, "; "), nil
		}}
}

// limitMemory does what the platform does: it kills a process that uses more than its memory and starts it again. It
// counts only memory that is the process's own (RssAnon). It returns how often the process was killed.
func (d *deployment) limitMemory(p *process, stop chan struct{}) (kills int) {
	peak := 0
	defer func() { d.rec.add("%s: peak %d MB of %d MB", p.name, peak>>10, d.memory[p.role]) }()
	for {
		select {
		case <-stop:
			return kills
		case <-time.After(2 * time.Millisecond):
		}
		used := ownKB(p.cmd.Process.Pid)
		peak = max(peak, used)
		if used <= d.memory[p.role]<<10 {
			continue
		}
		kills++
		d.rec.add("platform: %s uses %d MB of %d MB and is killed", p.name, used>>10, d.memory[p.role])
		_ = p.cmd.Process.Kill()
		<-p.done
		time.Sleep(restartDelay)
		if err := d.start(p); err != nil {
			d.rec.add("cannot start %s: %v", p.name, err)
			return kills
		}
	}
}

// ownKB returns the memory of a process that is its own, in KB.
func ownKB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "RssAnon:" {
			n, _ := strconv.Atoi(f[1])
			return n
		}
	}
	return 0
}

// submit submits a batch, again at the next node after each failure, until it is accepted or the caller gives up.
func (d *deployment) submit(k, items int, end time.Time) bool {
	var requests []map[string]any
	for i := range items {
		requests = append(requests, map[string]any{"id": fmt.Sprintf("%02x%014x", k, i), "path": "/rollout/x", "group": fmt.Sprintf("g%d", i/8), "tokens": 848,
			"body": base64.StdEncoding.EncodeToString(bytes.Repeat([]byte{'q'}, memoryBody)),
			"headers": map[string]string{"Plantainbank-Model": "m0", "Plantainbank-Token-Usage": "271,577",
				"Plantainbank-Prompt-Prefix": fmt.Sprintf("9c2e%04x:255,5d07%06x:16", i/8, i), "Plantainbank-Length-Hint": "560"}})
	}
	data, err := json.Marshal(map[string]any{"model": "m0", "min_version": 1, "target_groups": items / 8, "requests": requests})
	if err != nil {
		panic(err)
	}
	id := fmt.Sprintf("lot%d", k)
	for try := 0; time.Now().Before(end); try++ {
		p := d.entry[(k+try)%len(d.entry)]
		status, _ := d.call("POST", p, "/rollout/s", id, data, 12*time.Second)
		d.rec.add("caller: %s with %d items and %d bytes at %s -> %d", id, items, len(data), p.name, status)
		if status == http.StatusAccepted {
			return true
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}

// readAll reads the accepted submissions, again after each failure, and returns those that can't be read.
func (d *deployment) readAll(accepted []bool) (unread []int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for k, ok := range accepted {
		if !ok {
			continue
		}
		wg.Go(func() {
			status := 0
			for end, try := time.Now().Add(memoryFinish), 0; time.Now().Before(end); try++ {
				var text string
				status, text = d.call("GET", d.entry[(k+try)%len(d.entry)], fmt.Sprintf("/v1/lots/lot%d?after=0", k), "", nil, 3*time.Second)
				d.rec.add("caller: read lot%d -> %d %.60s", k, status, text)
				if status == http.StatusOK {
					return
				}
				time.Sleep(500 * time.Millisecond)
			}
			mu.Lock()
			defer mu.Unlock()
			unread = append(unread, k)
		})
	}
	wg.Wait()
	slices.Sort(unread)
	return unread
}

// call makes a call on a channel of its own. The status is 0 without an answer.
func (d *deployment) call(method string, p *process, path, id string, body []byte, wait time.Duration) (status int, text string) {
	req, err := http.NewRequest(method, "http://"+p.addr(portFront)+path, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = "h.example"
	req.Header.Set("Authorization", "Bearer key1")
	if id != "" {
		req.Header.Set("Plantainbank-Request-Id", id)
	}
	req.Header.Set("Plantainbank-Deadline-Ms", strconv.FormatInt(wait.Milliseconds(), 10))
	client := http.Client{Timeout: wait, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, err.Error()
	}
	return res.StatusCode, string(data)
}
