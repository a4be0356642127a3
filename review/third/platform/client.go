package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Names of the deployment.
const (
	hostName = "ficu95.example"
	apiKey   = "3d3zji9n73hh2b9wu3fe"
	model    = "daka510000"
)

// call sends a JSON document over a new connection, follows up to two redirects, and returns the status, 0
// without an answer.
func call(method, url string, body any, timeout time.Duration) (int, []byte) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, nil
	}
	req, err := http.NewRequest(method, url, bytes.NewReader(data))
	if err != nil {
		return 0, nil
	}
	req.Header.Set("Content-Type", "application/json")
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer res.Body.Close()
	answer, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, nil
	}
	return res.StatusCode, answer
}

// operate sends an order of the operator to one control host after the other until it gets a 2xx, for at most d. It
// returns the last answer.
func (s *site) operate(method, path string, body any, d time.Duration) (status int, answer []byte) {
	hosts := s.of("core")
	for i, end := 0, time.Now().Add(d); time.Now().Before(end); i++ {
		h := hosts[i%len(hosts)]
		got, data := call(method, fmt.Sprintf("http://%s:%d%s", h.ip, portControl, path), body, time.Second)
		if got != 0 {
			status, answer = got, data
		}
		if got >= 200 && got < 300 {
			s.rec.add("order", "path", path, "host", h.name, "status", status)
			return status, answer
		}
		time.Sleep(100 * time.Millisecond)
	}
	s.rec.add("order without an ack", "path", path, "status", status)
	return status, answer
}

// config returns a configuration like that of the users' pages.
func config(version int) map[string]any {
	return map[string]any{"version": version,
		"routes": []map[string]any{
			{"name": "r-roll", "host": hostName, "path_prefix": "/pufi791/", "route_type": "rollout", "timeout_ms": 10000, "target_latency_ms": 400, "priority": 1,
				"service": "huvo11a", "max_attempts": 3, "item_ttl_s": 40.0, "deadline_ms": 7500, "single_version": false, "public": false, "sticky": true, "resumable": true},
			{"name": "r-plain", "host": hostName, "path_prefix": "/lohu930/", "route_type": "idempotent", "timeout_ms": 1500, "target_latency_ms": 150, "priority": 2,
				"service": "wuno96b", "max_attempts": 2, "public": false}},
		"services": []map[string]any{
			{"name": "huvo11a", "health_path": "/healthz", "max_conns": 170, "protocol": "h1", "tls": false, "cold_start_s": 3.0, "cold_per_s": 14.0,
				"engine": map[string]any{"slots": 12, "kv_capacity_tokens": 42584, "kv_token_bytes": 18432, "link_mbps": 530000.0, "stride": 55, "models": []map[string]any{{"name": model}}}},
			{"name": "wuno96b", "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 33554432, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "nowu640", "api_keys": []string{apiKey}, "priority": 1}}}
}

// request sends a request of a consumer to an edge host over a new connection.
func (s *site) request(h *host, method, path, id string, header map[string]string, body []byte, timeout time.Duration) (int, []byte) {
	req, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", h.ip, portFront, path), bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Host = hostName
	req.Header.Set("Authorization", "Bearer "+apiKey)
	if id != "" {
		req.Header.Set("Plantainbank-Request-Id", id)
	}
	for k, v := range header {
		req.Header.Set(k, v)
	}
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer res.Body.Close()
	answer, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, nil
	}
	return res.StatusCode, answer
}

// submit submits a batch, at the next edge host after each failure, until it is accepted, for at most d.
func (s *site) submit(id string, items int, d time.Duration) bool {
	type item struct {
		ID      string            `json:"id"`
		Path    string            `json:"path"`
		Headers map[string]string `json:"headers"`
		Body    string            `json:"body"`
		Tokens  int               `json:"tokens"`
		Group   string            `json:"group"`
	}
	var all []item
	for i := range items {
		h := map[string]string{"Plantainbank-Model": model, "Plantainbank-Token-Usage": "271,400"}
		all = append(all, item{fmt.Sprintf("%s-%03d", id, i), "/pufi791/3/91c4", h, base64.StdEncoding.EncodeToString([]byte(strings.Repeat("q", 600))), 671, fmt.Sprintf("g%d", i/4)})
	}
	body, err := json.Marshal(map[string]any{"step": 0, "model": model, "min_version": 1, "target_groups": items / 4, "requests": all})
	if err != nil {
		return false
	}
	edges := s.of("edge")
	for i, end := 0, time.Now().Add(d); time.Now().Before(end); i++ {
		h := edges[i%len(edges)]
		status, _ := s.request(h, http.MethodPost, "/pufi791/"+id, id, nil, body, 4*time.Second)
		s.rec.add("submission", "batch", id, "host", h.name, "status", status)
		if status == http.StatusAccepted {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// page is an answer to a read of a batch.
type page struct {
	Total   int `json:"total"`
	Next    int `json:"next"`
	Results []struct {
		ID    string `json:"id"`
		State string `json:"state"`
		Text  string `json:"text"`
	} `json:"results"`
}

// read reads a batch from a position on at one edge host.
func (s *site) read(h *host, id string, after int, wait time.Duration) (status int, p page) {
	status, body := s.request(h, http.MethodGet, fmt.Sprintf("/v1/lots/%s?after=%d", id, after), "", map[string]string{
		"Plantainbank-Wait-Ms": fmt.Sprint(wait.Milliseconds())}, nil, wait+5*time.Second)
	if status == http.StatusOK && json.Unmarshal(body, &p) != nil {
		return 0, p
	}
	return status, p
}

// readAll reads a batch from the start, at one edge host after the other, until n results were read, for at most d.
func (s *site) readAll(id string, n int, d time.Duration) (results int, last int) {
	edges := s.of("edge")
	for i, end := 0, time.Now().Add(d); results < n && time.Now().Before(end); i++ {
		status, p := s.read(edges[i%len(edges)], id, results, time.Second)
		last = status
		if status == http.StatusOK {
			results += len(p.Results)
		} else {
			time.Sleep(200 * time.Millisecond)
		}
	}
	s.rec.add("read", "batch", id, "results", results, "of", n, "status", last)
	return results, last
}
