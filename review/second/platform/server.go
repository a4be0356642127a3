package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// server is a backend server: it announces itself and runs requests.
type server struct {
	d       *deployment
	id      string
	service string
	addr    string
	zone    string
	born    int64
	// handle runs a request and writes its answer.
	handle func(s *server, w http.ResponseWriter, r *http.Request, body []byte)
	// models are the versions of the weights, nil for plain services.
	mu     sync.Mutex
	models map[string]uint64
	state  string
	seq    uint64
	// step is by how much seq grows with each call.
	step   func(seq uint64) uint64
	orders atomic.Uint64
	acked  atomic.Int64
}

// startServer starts a server of a service at an address of its own.
func (d *deployment) startServer(n int, service string, handle func(*server, http.ResponseWriter, *http.Request, []byte), models map[string]uint64) (*server, error) {
	s := &server{d: d, id: fmt.Sprintf("i-%02d%s", n, service), service: service, addr: fmt.Sprintf("%s:%d", d.ip(50+n), portServer),
		zone: []string{"lahore", "multan", "faisalabad"}[n%3], born: time.Now().UnixMilli(), handle: handle, models: models, state: "ready",
		step: func(seq uint64) uint64 { return seq + 1 }}
	lis, err := net.Listen("tcp4", s.addr)
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(lis, http.HandlerFunc(s.serve)) }()
	go s.announce()
	return s, nil
}

// setState changes the state that the server announces from its next announcement on.
func (s *server) setState(state string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = state
	s.acked.Store(0)
}

func (s *server) announce() {
	client := &http.Client{Timeout: time.Second}
	for ; ; time.Sleep(1200 * time.Millisecond) {
		s.beat(client)
	}
}

// beat announces the server to one control process after another until one acknowledges.
func (s *server) beat(client *http.Client) {
	for _, addr := range s.d.controlAddrs() {
		s.mu.Lock()
		s.seq = s.step(s.seq)
		var models []map[string]any
		for name, v := range s.models {
			models = append(models, map[string]any{"name": name, "version": v, "adapters": []string{}})
		}
		state := s.state
		body := map[string]any{"service": s.service, "addr": s.addr, "zone": s.zone, "version": "v1", "slots": 12, "state": state,
			"cold_left_ms": 0, "seq": s.seq, "born": s.born}
		if models != nil {
			body["stage"], body["models"] = "prefill_decode", models
		}
		s.mu.Unlock()
		data, err := json.Marshal(body)
		if err != nil {
			panic(err)
		}
		res, err := client.Post("http://"+addr+"/v1/instances/"+s.id+"/heartbeat", "application/json", bytes.NewReader(data))
		if err != nil {
			continue
		}
		io.Copy(io.Discard, res.Body)
		res.Body.Close()
		if res.StatusCode/100 == 2 {
			s.mu.Lock()
			if s.state == state && s.acked.Load() == 0 {
				s.acked.Store(time.Now().UnixMilli())
			}
			s.mu.Unlock()
			return
		}
	}
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if want := r.Header.Get("Plantainbank-Expect-Instance"); want != "" && want != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/v1/report":
		_ = json.NewEncoder(w).Encode(map[string]any{"stage": "prefill_decode", "busy": false, "seq": s.orders.Load(), "models": []any{}})
		return
	case "/v1/order":
		s.order(w, body)
		return
	}
	w.Header().Set("Plantainbank-Request-Id", r.Header.Get("Plantainbank-Request-Id"))
	w.Header().Set("Plantainbank-Server-Stamp", "stamp."+s.id)
	s.handle(s, w, r, body)
}

// order carries out an order to load a version at once.
func (s *server) order(w http.ResponseWriter, body []byte) {
	var o struct {
		Model   string `json:"model"`
		Version uint64 `json:"version"`
	}
	if json.Unmarshal(body, &o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.orders.Add(1)
	s.mu.Lock()
	s.models[o.Model] = o.Version
	s.mu.Unlock()
	w.WriteHeader(http.StatusAccepted)
}

// events writes a stream of n events; before(i) is called before event i, from 1.
func events(w http.ResponseWriter, from, n int, text func(i int) string, before func(i int)) error {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	for i := from; i <= n; i++ {
		before(i)
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, text(i)); err != nil {
			return err
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return err
		}
	}
	return nil
}
