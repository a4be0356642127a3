package standin

import (
	"encoding/json"
	"hash/fnv"
	"io"
	"net/http"
	"sync"
	"time"
)

// ServiceConfig sets up a plain service.
type ServiceConfig struct {
	Base
	// Work is the time for one request.
	Work time.Duration
}

// ServiceFault switches faults of a plain service.
type ServiceFault struct {
	// At is where the next Times requests go wrong: "before" the request is
	// run, "after" it was run and before the answer, or in the "answer".
	At    string `json:"at"`
	Times int    `json:"times"`
	// Late delays answers, in milliseconds.
	Delay int `json:"late"`
	// Crossed answers with another request's name.
	WrongRequest bool `json:"crossed"`
}

// Service is a stand-in plain service. It counts how often each body was run.
type Service struct {
	*server
	cfg    ServiceConfig
	ranMu  sync.Mutex
	ran    map[string]int
	faults ServiceFault
}

// ServiceAnswer is what a service answers.
type ServiceAnswer struct {
	Service string `json:"service"`
	Path    string `json:"path"`
	Body    string `json:"body"`
	// Ran is how often the body was run so far.
	Ran int `json:"ran"`
}

// StartService starts a plain service.
func StartService(cfg ServiceConfig) (*Service, error) {
	s := &Service{server: newServer(cfg.Base, "service"), cfg: cfg, ran: map[string]int{}}
	mux := http.NewServeMux()
	mux.HandleFunc("/", s.serve)
	mux.HandleFunc("POST /score", s.score)
	mux.HandleFunc("POST /fault", func(w http.ResponseWriter, r *http.Request) {
		var f ServiceFault
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetFault(f)
	})
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Stats()) })
	mux.HandleFunc("GET /ran", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Ran()) })
	return s, s.start(mux)
}

// SetFault replaces the fault switches.
func (s *Service) SetFault(f ServiceFault) {
	s.ranMu.Lock()
	defer s.ranMu.Unlock()
	s.faults = f
}

// Ran returns how often each body was run.
func (s *Service) Ran() map[string]int {
	s.ranMu.Lock()
	defer s.ranMu.Unlock()
	out := map[string]int{}
	for k, v := range s.ran {
		out[k] = v
	}
	return out
}

func (s *Service) takeFault() ServiceFault {
	s.ranMu.Lock()
	defer s.ranMu.Unlock()
	f := s.faults
	if f.At != "" {
		if s.faults.Times--; s.faults.Times <= 0 {
			s.faults.At = ""
		}
	}
	return f
}

func (s *Service) run(body string) int {
	s.ranMu.Lock()
	defer s.ranMu.Unlock()
	s.ran[body]++
	return s.ran[body]
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if s.rejectMisdirected(w, r) {
		return
	}
	f := s.takeFault()
	if f.At == "before" {
		abortConnection(w)
		return
	}
	s.requestStarted(s.Capacity, hasKey(r, body))
	defer s.requestFinished(true)
	n := s.run(string(body))
	time.Sleep(s.cfg.Work + time.Duration(f.Delay)*time.Millisecond)
	if f.At == "after" {
		abortConnection(w)
		return
	}
	s.answer(w, r, string(body), n, f)
}

func (s *Service) answer(w http.ResponseWriter, r *http.Request, body string, n int, f ServiceFault) {
	name := r.Header.Get("X-Request-Id")
	if f.WrongRequest {
		name = "another"
	}
	w.Header().Set("X-Request-Id", name)
	if f.At != "answer" {
		writeJSON(w, ServiceAnswer{s.ID, r.URL.Path, body, n})
		return
	}
	w.Header().Set("Content-Length", "100000")
	io.WriteString(w, `{"service":`)
	w.(http.Flusher).Flush()
	abortConnection(w)
}

// score is the interface of scoring services.
func (s *Service) score(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	f := s.takeFault()
	if f.At != "" {
		abortConnection(w)
		return
	}
	s.requestStarted(s.Capacity, hasKey(r, body))
	defer s.requestFinished(true)
	time.Sleep(s.cfg.Work)
	h := fnv.New32a()
	h.Write(body)
	writeJSON(w, map[string]float64{"score": float64(h.Sum32()%1000) / 1000})
}
