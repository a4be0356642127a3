package main

import (
	"fmt"
	"net/http"
	"strconv"
	"time"
)

func init() { cases["same-id"] = sameID }

// sameID plays two tenants that submit batches with the same ID, one after the other. Without the trouble the IDs
// differ.
func sameID(trouble bool) testCase {
	r := route("rollout", "/rollout/", "rollout", "proofer", map[string]any{"target_latency_ms": 400, "max_attempts": 3, "item_ttl_s": 40.0,
		"deadline_ms": 7500, "single_version": false, "sticky": true, "resumable": true})
	return testCase{entries: 2, config: config(2, r),
		servers: func(d *deployment) error {
			_, err := d.startServer(0, "proofer", func(s *server, w http.ResponseWriter, r *http.Request, _ []byte) {
				from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
				w.Header().Set("Plantainbank-Weight-Versions", "1")
				_ = events(w, from+1, 3, func(i int) string { return fmt.Sprintf("event %d", i) }, func(int) { time.Sleep(20 * time.Millisecond) })
			}, map[string]uint64{"m0": 1})
			return err
		},
		play: func(d *deployment) (string, error) {
			ids := []string{"5a5a5a5a5a5a5a5a", "5a5a5a5a5a5a5a5a"}
			if !trouble {
				ids[1] = "6b6b6b6b6b6b6b6b"
			}
			for i, id := range ids {
				body := fmt.Sprintf(`{"model":"m0","min_version":1,"requests":[{"id":"item%d","path":"/rollout/x","headers":{"Plantainbank-Model":"m0"},"body":"aGk=","tokens":30}]}`, i)
				status := d.post(d.entry[i], "/rollout/s", id, fmt.Sprint("key", i+1), body, nil)
				d.rec.add("tenant%d submits %s -> %d", i+1, id, status)
				if status != http.StatusAccepted {
					return "", fmt.Errorf("submission %d got %d", i+1, status)
				}
			}
			time.Sleep(2 * time.Second)
			req, err := http.NewRequest("GET", "http://"+d.entry[1].addr(portFront)+"/v1/lots/"+ids[1]+"?after=0", nil)
			if err != nil {
				return "", err
			}
			req.Host = "h.example"
			req.Header.Set("Authorization", "Bearer key2")
			res, err := http.DefaultClient.Do(req)
			if err != nil {
				return "", err
			}
			res.Body.Close()
			d.rec.add("tenant2 reads its batch -> %d", res.StatusCode)
			if res.StatusCode == http.StatusNotFound {
				return "LOST: an accepted batch is answered 404 two seconds later", nil
			}
			return "", nil
		}}
}
