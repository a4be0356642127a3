package standin

import (
	"encoding/json"
	"hash/fnv"
	"io"
	"net/http"
	"sync"
	"time"
)

// ServiceConfig is the configuration of a plain service.
type ServiceConfig struct {
	Base
	// Work is the time to run one request.
	Work time.Duration
}

// ServiceFault selects the faults that a plain service injects.
type ServiceFault struct {
	// At is the point at which the connection of the next Times requests is closed: "before"
	// the request runs, "after" it has run but before the response, or within the response
	// ("answer").
	At    string `json:"at"`
	Times int    `json:"times"`
	// Delay is the delay of responses in milliseconds.
	Delay int `json:"late"`
	// WrongRequest makes the service respond with the id of another request.
	WrongRequest bool `json:"crossed"`
}

// Service is a fake plain service. It counts how often each body has run.
type Service struct {
	*server
	cfg ServiceConfig
	// ranMu guards ran and faults.
	ranMu  sync.Mutex
	ran    map[string]int
	faults ServiceFault
}

// ServiceResponse is the body of a response of a plain service.
type ServiceResponse struct {
	Service string `json:"service"`
	Path    string `json:"path"`
	Body    string `json:"body"`
	// Ran is how often the body has run, including this time.
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

// SetFault replaces the selected faults.
func (s *Service) SetFault(f ServiceFault) {
	s.ranMu.Lock()
	defer s.ranMu.Unlock()
	s.faults = f
}

// Ran returns how often each body has run.
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
		writeJSON(w, ServiceResponse{s.ID, r.URL.Path, body, n})
		return
	}
	w.Header().Set("Content-Length", "100000")
	io.WriteString(w, `{"service":`)
	w.(http.Flusher).Flush()
	abortConnection(w)
}

// score serves POST /score, the interface of scoring services. The score is derived from a
// hash of the body.
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
