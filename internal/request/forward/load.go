package forward

import (
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/plantainbank/plantainbank/internal/connection/admission"
	"github.com/plantainbank/plantainbank/internal/connection/placement"
)

// maxWorkPercent bounds the fourth figure of the load header; larger ones are malformed.
const maxWorkPercent = 10_000

// parseLoad parses the load header of a response: running requests, waiting requests, slots, and from
// some services how long work takes on the server's machine, where 100 means as usual. A malformed third
// or fourth figure is ignored.
func (f *Forwarder) parseLoad(res *fasthttp.Response) (x placement.Load, ok bool) {
	parts := strings.Split(string(res.Header.Peek(f.cfg.Headers.Load)), ",")
	if len(parts) < 2 {
		return x, false
	}
	running, err1 := strconv.Atoi(strings.TrimSpace(parts[0]))
	waiting, err2 := strconv.Atoi(strings.TrimSpace(parts[1]))
	if err1 != nil || err2 != nil {
		return x, false
	}
	x.Busy = running + waiting
	if len(parts) > 2 {
		if n, err := strconv.Atoi(strings.TrimSpace(parts[2])); err == nil && n > 0 {
			x.Slots = n
		}
	}
	if len(parts) == 4 {
		if n, err := strconv.ParseFloat(strings.TrimSpace(parts[3]), 64); err == nil && n > 0 && n <= maxWorkPercent {
			x.Work = n / 100
		}
	}
	return x, true
}

// plain reports whether the request is a plain call, which may be refused for the capacity of its
// service. A stream that is taken up has been admitted before.
func (s *requestState) plain() bool {
	return !s.Route.Streaming && !s.Route.Resumable && s.Software == nil
}

// admit decides whether a plain call is within the share of its workspace.
func (f *Forwarder) admit(s *requestState) (retryAfter time.Duration, admitted bool) {
	if !s.plain() {
		return 0, true
	}
	return f.cfg.Admission.Admit(s.Service, admission.Flow{Workspace: s.Workspace, Priority: s.Priority}, s.start)
}

// knownFull reports whether the service of a plain call is under pressure and all its servers are known to
// be full, so that asking another one only adds load.
func (f *Forwarder) knownFull(s *requestState, now time.Time) bool {
	if s.sent > 0 || s.full == 0 || !s.plain() {
		return false
	}
	_, pressed := f.cfg.Admission.Pressed(s.Service, now)
	return pressed && f.cfg.Table.AllFull(s.Service, now)
}

func (f *Forwarder) recordServed(s *requestState, took time.Duration, x placement.Load, now time.Time) {
	if s.plain() {
		f.cfg.Admission.RecordServed(s.Service, took, admission.Load{Busy: x.Busy, Slots: x.Slots}, now)
	}
}

func (f *Forwarder) recordRefused(s *requestState, x placement.Load, now time.Time) {
	if !s.plain() {
		return
	}
	s.full++
	f.cfg.Admission.RecordRefused(s.Service, admission.Load{Busy: x.Busy, Slots: x.Slots}, now)
}

// fullRetryAfter records a call that no server took and returns its Retry-After.
func (f *Forwarder) fullRetryAfter(s *requestState) time.Duration {
	if s.full == 0 {
		return retryAfterDelay
	}
	now := time.Now()
	f.cfg.Admission.RecordFailed(s.Service, now)
	if d, pressed := f.cfg.Admission.Pressed(s.Service, now); pressed {
		return d
	}
	return retryAfterDelay
}
