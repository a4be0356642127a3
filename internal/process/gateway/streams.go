package gateway

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/plantainbank/plantainbank/internal/process/feed"
	"github.com/plantainbank/plantainbank/internal/request/forward"
	"github.com/plantainbank/plantainbank/internal/request/origin"
	"github.com/plantainbank/plantainbank/internal/version/routing"
)

const (
	// maxStreamRecords bounds the streams that the host knows of.
	maxStreamRecords = 4096
	// maxOriginWait is the longest time for which a request waits for the origin of the stream
	// that it takes up; an election takes less.
	maxOriginWait = time.Second
	// rosterPollInterval is the interval between checks for a newer roster.
	rosterPollInterval = 10 * time.Millisecond
	// unknownOriginRetry is the Retry-After of a stream whose origin could not be found.
	unknownOriginRetry = 500 * time.Millisecond
)

// streamBegan records where the stream of a request has begun.
func (s *Server) streamBegan(r *forward.Request, service, software string) {
	s.origins.Add(origin.Key{Workspace: r.Workspace, Request: r.ID}, origin.Origin{Service: service, Software: software}, time.Now())
}

// tellNewLeader tells a new control leader of the streams that have begun.
func (s *Server) tellNewLeader(st *feed.State) {
	if st.Term != s.toldTerm {
		s.toldTerm = st.Term
		s.origins.TellAgain()
	}
}

// takeUp sets the service and the software version of a request that takes up a stream. It returns
// a response if the stream cannot go on, and nil for requests that begin a stream or have none.
func (s *Server) takeUp(ctx context.Context, r *forward.Request) *forward.Response {
	h := &r.Raw.Header
	if !r.Route.Resumable || r.Route.Kind == routing.Batch || len(h.Peek(s.cfg.Headers.LastEventID)) == 0 {
		return nil
	}
	sole := ""
	if len(r.Route.Targets) == 1 {
		sole = r.Route.Targets[0].Service
	}
	first := string(h.Peek(s.cfg.Headers.Resumes))
	now := time.Now()
	until := now.Add(min(maxOriginWait, r.Deadline.Sub(now)/2))
	o, revision, err := s.originClient.Find(ctx, origin.Key{Workspace: r.Workspace, Request: first}, sole, until)
	if err == nil {
		err = s.awaitRoster(ctx, revision, until)
	}
	log := s.log.WithFields(logrus.Fields{"request": r.ID, "resumes": first, "route": r.Route.Name, "took_ms": time.Since(now).Milliseconds()})
	if err != nil {
		s.cfg.Scope.Counter("streams_not_taken_up").Inc(1)
		log.WithError(err).Info("stream not taken up")
		return &forward.Response{Status: http.StatusServiceUnavailable, RetryAfter: unknownOriginRetry, Reason: "the stream cannot go on: " + err.Error()}
	}
	log = log.WithFields(logrus.Fields{"service": o.Service, "software": o.Software})
	if !slices.ContainsFunc(r.Route.Targets, func(t routing.Target) bool { return t.Service == o.Service && t.Weight > 0 }) {
		log.Info("stream not taken up, its route does not lead to its service any more")
		return &forward.Response{Status: http.StatusServiceUnavailable, RetryAfter: unknownOriginRetry, Reason: "the service of the stream is not on its route any more"}
	}
	log.Info("stream taken up")
	r.Service, r.Software = o.Service, &o.Software
	return nil
}

// outdatedRosterError reports that the roster of this host is older than that of the control leader.
type outdatedRosterError struct{ has, needs uint64 }

func (e *outdatedRosterError) Error() string {
	return fmt.Sprintf("the roster of this host has revision %d, the leader's %d", e.has, e.needs)
}

// awaitRoster waits until this host has a revision of the roster, at most until the time given. A host
// that stood still or was cut off takes a server for what it was before.
func (s *Server) awaitRoster(ctx context.Context, revision uint64, until time.Time) error {
	for {
		has := s.feed.State().Roster
		if has >= revision {
			return nil
		}
		if ctx.Err() != nil || !time.Now().Add(rosterPollInterval).Before(until) {
			return &outdatedRosterError{has, revision}
		}
		time.Sleep(rosterPollInterval)
	}
}
