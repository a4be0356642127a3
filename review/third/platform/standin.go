package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// worker is a stand-in of a backend server: a model worker if it has a model, else a plain one. It behaves as
// the users' pages tell, and a case changes that with the function fields.
type worker struct {
	rec                     *record
	id, service, addr, zone string
	model                   string
	slots                   int
	born                    int64
	// events is the number of events of an item, pause the time for each.
	events int
	pause  time.Duration
	// work is the time of a plain request.
	work time.Duration

	mu      sync.Mutex
	state   string
	seq     int
	version uint64
	orders  int
	token   uint64
	running int
	srv     *http.Server
	stop    chan struct{}
	// onRun is called when a request begins to run.
	onRun func(id string, r *http.Request)
	// slow is by how much events take longer, 1 if they do not.
	slow float64
	// keepAlive is the time without an event after which the stream gets a comment line, zero for never.
	keepAlive time.Duration
	// fails is the part of its plain requests after which the worker fails with failStatus, once they have run.
	fails      float64
	failStatus int
}

func (s *site) newWorker(id, service, model string, zone, n int) (*worker, error) {
	w := &worker{rec: s.rec, id: id, service: service, model: model, zone: zoneNames[zone], slots: 12, born: time.Now().UnixMilli(),
		events: 6, pause: 20 * time.Millisecond, work: 25 * time.Millisecond, state: "ready", version: 1, slow: 1, stop: make(chan struct{})}
	lis, err := net.Listen("tcp4", fmt.Sprintf("%s.%d:0", s.prefix, 110+zone*8+n))
	if err != nil {
		return nil, err
	}
	w.addr = lis.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/report", w.report)
	mux.HandleFunc("POST /v1/order", w.order)
	mux.HandleFunc("GET /healthz", w.health)
	mux.HandleFunc("/", w.serve)
	w.srv = &http.Server{Handler: mux}
	go func() { _ = w.srv.Serve(lis) }()
	go w.announce(s)
	return w, nil
}

// announce sends a heartbeat about every 1.2 s, to the next control host after one that has not answered.
func (w *worker) announce(s *site) {
	next := 0
	for {
		hosts := s.of("core")
		for range hosts {
			if w.beat(fmt.Sprintf("%s:%d", hosts[next%len(hosts)].ip, portControl)) {
				break
			}
			next++
		}
		select {
		case <-w.stop:
			return
		case <-time.After(heartbeat):
		}
	}
}

func (w *worker) beat(addr string) bool {
	w.mu.Lock()
	w.seq++
	models := []map[string]any{}
	if w.model != "" {
		models = append(models, map[string]any{"name": w.model, "version": w.version, "adapters": []string{}})
	}
	body := map[string]any{"service": w.service, "addr": w.addr, "zone": w.zone, "version": "v1", "slots": w.slots, "state": w.state,
		"cold_left_ms": 0, "stage": "prefill_decode", "models": models, "seq": w.seq, "born": w.born}
	w.mu.Unlock()
	status, _ := call(http.MethodPost, "http://"+addr+"/v1/instances/"+w.id+"/heartbeat", body, time.Second)
	return status == http.StatusOK
}

func (w *worker) report(rw http.ResponseWriter, _ *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(map[string]any{"stage": "prefill_decode", "models": []map[string]any{{"name": w.model, "version": w.version, "adapters": []string{}}},
		"busy": false, "seq": w.orders, "num_waiting": 0, "num_running": w.running, "kv_used": 0, "kv_total": 42584, "handles": 0})
}

func (w *worker) order(rw http.ResponseWriter, r *http.Request) {
	var o struct {
		Op           string  `json:"op"`
		Model        string  `json:"model"`
		Version      uint64  `json:"version"`
		Holder       string  `json:"holder"`
		FencingToken uint64  `json:"fencing_token"`
		Precondition *uint64 `json:"precondition"`
	}
	err := json.NewDecoder(r.Body).Decode(&o)
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case err != nil || o.Op != "version" || o.Holder == "" || o.FencingToken == 0:
		rw.WriteHeader(http.StatusBadRequest)
	case o.FencingToken < w.token:
		rw.WriteHeader(http.StatusPreconditionFailed)
	case o.Precondition != nil && *o.Precondition != uint64(w.orders):
		rw.WriteHeader(http.StatusConflict)
	case o.Version <= w.version:
		w.token = o.FencingToken
		rw.WriteHeader(http.StatusOK)
	default:
		w.token, w.version = o.FencingToken, o.Version
		w.orders++
		rw.WriteHeader(http.StatusAccepted)
	}
}

func (w *worker) health(rw http.ResponseWriter, _ *http.Request) {
	rw.Header().Set("Plantainbank-Instance-Id", w.id)
}

func (w *worker) serve(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Plantainbank-Request-Id")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	rw.Header().Set("Plantainbank-Request-Id", id)
	if want := r.Header.Get("Plantainbank-Expect-Instance"); want != "" && want != w.id {
		rw.Header().Set("Plantainbank-Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	if want := r.Header.Get("Plantainbank-Expect-Version"); w.model != "" && want != "" && want != strconv.FormatUint(w.version, 10) {
		w.mu.Unlock()
		rw.Header().Set("Plantainbank-Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if w.running >= w.slots {
		w.mu.Unlock()
		rw.Header().Set("Plantainbank-Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.running++
	version, onRun := w.version, w.onRun
	w.mu.Unlock()
	defer func() { w.mu.Lock(); w.running--; w.mu.Unlock() }()
	if onRun != nil {
		onRun(id, r)
	}
	rw.Header().Set("Plantainbank-Server-Stamp", "3e1b.07.5a2.600.0.c9f2a4d1")
	if w.model == "" {
		time.Sleep(w.work)
		if rand.Float64() < w.fails {
			rw.WriteHeader(w.failStatus)
			return
		}
		_, _ = fmt.Fprintf(rw, "%s %s %s", r.Method, r.URL.Path, body)
		return
	}
	rw.Header().Set("Plantainbank-Weight-Versions", strconv.FormatUint(version, 10))
	rw.Header().Set("Content-Type", "text/event-stream")
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := from + 1; n <= w.events; n++ {
		if !w.awaitEvent(rw, r) {
			return
		}
		_, _ = fmt.Fprintf(rw, "id: %d\ndata: event %d of %s\n\n", n, n, id)
		rw.(http.Flusher).Flush()
	}
}

// awaitEvent waits until the next event of a stream is made. Meanwhile it keeps the stream alive with comments, as
// text/event-stream has them. It returns false if the caller has left.
func (w *worker) awaitEvent(rw http.ResponseWriter, r *http.Request) bool {
	w.mu.Lock()
	due, keepAlive := time.Now().Add(time.Duration(float64(w.pause)*w.slow)), w.keepAlive
	w.mu.Unlock()
	for {
		left := time.Until(due)
		if keepAlive > 0 {
			left = min(left, keepAlive)
		}
		select {
		case <-r.Context().Done():
			return false
		case <-time.After(left):
		}
		if !time.Now().Before(due) {
			return true
		}
		_, _ = io.WriteString(rw, ": keep-alive\n\n")
		rw.(http.Flusher).Flush()
	}
}

// startCloud starts the stand-in of the platform, which takes usage reports.
func (s *site) startCloud() error {
	lis, err := net.Listen("tcp4", s.prefix+".200:0")
	if err != nil {
		return err
	}
	s.cloud = lis.Addr().String()
	go func() {
		_ = http.Serve(lis, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }))
	}()
	return nil
}
