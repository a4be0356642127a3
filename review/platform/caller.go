package main

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// Names in the configuration.
const (
	hostName = "ficu95.example"
	keyA     = "3d3zji9n73hh2b9wu3fe"
	keyB     = "xd9dnn2ctnfzs989anu6"
	tenantA  = "nowu640"
	tenantB  = "goka901"
	model    = "daka510000"
)

// config is a configuration like that of the pages: a route for batches, one for plain requests that
// may be repeated, and one for plain requests that may not.
const config = `{"version":%d,"routes":[
{"name":"r-lots","host":"ficu95.example","path_prefix":"/pufi791/","route_type":"rollout","timeout_ms":10000,"target_latency_ms":400,"priority":1,"service":"proofer","max_attempts":3,"item_ttl_s":40.0,"deadline_ms":7500,"single_version":false,"public":false,"sticky":true,"resumable":true},
{"name":"r-plain","host":"ficu95.example","path_prefix":"/lohu930/","route_type":"idempotent","timeout_ms":1500,"target_latency_ms":150,"priority":2,"service":"counter","max_attempts":2,"public":false},
{"name":"r-once","host":"ficu95.example","path_prefix":"/once/","route_type":"non_idempotent","timeout_ms":10000,"target_latency_ms":150,"priority":2,"service":"counter","max_attempts":2,"public":false},
{"name":"r-streams","host":"ficu95.example","path_prefix":"/streams/","route_type":"streaming","timeout_ms":10000,"target_latency_ms":400,"priority":2,"service":"counter","max_attempts":3,"public":false,"resumable":true},
{"name":"r-tales","host":"ficu95.example","path_prefix":"/tales/","route_type":"streaming","timeout_ms":10000,"target_latency_ms":400,"priority":2,"service":"counter","max_attempts":2,"public":false}],
"services":[
{"name":"proofer","health_path":"/healthz","max_conns":150,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":13.0,"engine":{"slots":12,"kv_capacity_tokens":42584,"models":[{"name":"daka510000"}]}},
{"name":"counter","health_path":"/healthz","max_conns":100,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0}],
"limits":{"max_header_bytes":16384,"max_body_bytes":33554432,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"nowu640","api_keys":["3d3zji9n73hh2b9wu3fe"],"priority":1},{"name":"goka901","api_keys":["xd9dnn2ctnfzs989anu6"],"priority":1}]}`

func (s *site) putConfig(version int) error {
	return s.callControl("operator", "POST", "/v1/config/put", fmt.Sprintf(config, version))
}

// newChannel returns a client with a channel of its own.
func newChannel() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1, DisableCompression: true}}
}

// answer is what a consumer got. Status 0 means no complete answer.
type answer struct {
	status int
	body   []byte
	header http.Header
	err    error
}

// send sends a request to an entry host on a channel.
func (s *site) send(c *http.Client, entry int, method, path, id, key string, limit time.Duration, body []byte, header map[string]string) answer {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+s.addr("entry", entry, portFront)+path, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Host = hostName
	req.Header.Set("Plantainbank-Deadline-Ms", strconv.FormatInt(limit.Milliseconds(), 10))
	req.Header.Set("Authorization", "Bearer "+key)
	if id != "" {
		req.Header.Set("Plantainbank-Request-Id", id)
	}
	for k, v := range header {
		req.Header.Set(k, v)
	}
	res, err := c.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return answer{err: err}
	}
	return answer{status: res.StatusCode, body: data, header: res.Header}
}

// once sends a request on a new channel.
func (s *site) once(entry int, method, path, id, key string, limit time.Duration, body []byte, header map[string]string) answer {
	c := newChannel()
	defer c.CloseIdleConnections()
	return s.send(c, entry, method, path, id, key, limit, body, header)
}

// awaitServed waits until each entry host serves plain requests.
func (s *site) awaitServed() error {
	for i := range s.size.entry {
		n := 0
		err := waitFor(fmt.Sprintf("entry-%d to serve", i), 20*time.Second, func() bool {
			n++
			return s.once(i, "POST", "/lohu930/x", fmt.Sprintf("warm-%d-%d", i, n), keyA, 1500*time.Millisecond, []byte("b"), nil).status == 200
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// item is one item of a batch.
type item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    string            `json:"body"`
	Tokens  int               `json:"tokens"`
	Group   string            `json:"group"`
}

func newItem(id, group string) item {
	return item{ID: id, Path: "/pufi791/3/" + id, Headers: map[string]string{"Plantainbank-Model": model, "Plantainbank-Token-Usage": "271,100"},
		Body: base64.StdEncoding.EncodeToString([]byte("body of " + id)), Tokens: 371, Group: group}
}

// result is one result of a batch.
type result struct {
	ID    string `json:"id"`
	State string `json:"state"`
	Text  string `json:"text"`
}

// submit submits a batch until it is accepted, each time at another entry host.
func (s *site) submit(id, key string, step int, items []item) error {
	body, err := json.Marshal(map[string]any{"step": step, "model": model, "min_version": 1, "target_groups": len(items) * 9 / 40, "requests": items})
	if err != nil {
		return err
	}
	for n := range 20 {
		a := s.once(n%s.size.entry, "POST", "/pufi791/"+id, id, key, 4*time.Second, body, nil)
		s.rec.add("trainer", "submits %s with %d items at entry-%d: %d %v", id, len(items), n%s.size.entry, a.status, a.err)
		if a.status == http.StatusAccepted {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("batch %s was not accepted", id)
}

// readAll reads the results of a batch until there are n, or the time is over.
func (s *site) readAll(id, key string, n int, limit time.Duration) []result {
	var all []result
	for i, end := 0, time.Now().Add(limit); len(all) < n && time.Now().Before(end); i++ {
		a := s.once(i%s.size.entry, "GET", fmt.Sprintf("/v1/lots/%s?after=%d", id, len(all)), "", key, 3*time.Second, nil,
			map[string]string{"Plantainbank-Wait-Ms": "1000"})
		var p struct {
			Total   int      `json:"total"`
			Results []result `json:"results"`
		}
		if a.status != 200 || json.Unmarshal(a.body, &p) != nil {
			s.rec.add("trainer", "reads %s at entry-%d: %d %v", id, i%s.size.entry, a.status, a.err)
			time.Sleep(100 * time.Millisecond)
			continue
		}
		if len(p.Results) > 0 {
			s.rec.add("trainer", "reads %d results of %s from position %d at entry-%d", len(p.Results), id, len(all), i%s.size.entry)
		}
		all = append(all, p.Results...)
	}
	return all
}

// end ends a batch.
func (s *site) end(id, key string) {
	for n := range 10 {
		a := s.once(n%s.size.entry, "DELETE", "/v1/lots/"+id, "", key, 3*time.Second, nil, nil)
		s.rec.add("trainer", "ends %s at entry-%d: %d %v", id, n%s.size.entry, a.status, a.err)
		if a.status == 200 {
			return
		}
	}
}
