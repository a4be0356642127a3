package director

import (
	"context"
	"time"

	"github.com/plantainbank/plantainbank/internal/request/origin"
	"github.com/plantainbank/plantainbank/service/fleet"
)

const (
	// maxStreamRecords bounds the streams of callers that the leader knows of.
	maxStreamRecords = 1 << 15
	// streamsTold is how long after its election a leader may still be told of streams that began
	// before: hosts notice a new leader within 1.3 s.
	streamsTold = 2 * time.Second
)

// Began records where streams of callers have begun.
func (s *Server) Began(ctx context.Context, q *fleet.Streams) (*fleet.Nothing, error) {
	err := s.onLeader(ctx, func(l *leadership) error {
		now := time.Now()
		for _, x := range q.Streams {
			l.streams.Add(origin.Key{Workspace: x.Workspace, Request: x.Request}, origin.Origin{Service: x.Service, Software: x.Software}, now)
		}
		return nil
	})
	return &fleet.Nothing{}, toTwirpError(err)
}

// Find returns where a stream has begun, and the revision of the roster that says which servers may go
// on with it.
func (s *Server) Find(ctx context.Context, q *fleet.Stream) (a *fleet.Stream, err error) {
	err = s.onLeader(ctx, func(l *leadership) error {
		a = l.findStream(q, time.Now())
		return nil
	})
	return a, toTwirpError(err)
}

// findStream returns where a stream has begun. If that is not known, but the service that is named has
// had a single software version for as long as a stream lasts, the stream has begun at that one. A new
// leader cannot tell: its copy of the roster may be older than that of the host at which the stream
// began, and that host may yet tell it of the stream.
func (l *leadership) findStream(q *fleet.Stream, now time.Time) *fleet.Stream {
	a := &fleet.Stream{Workspace: q.Workspace, Request: q.Request, Roster: l.roster.RoutingRevision,
		Settled: now.Sub(l.since) > streamsTold && l.waitedForAnnouncements(now)}
	if o, ok := l.streams.Find(origin.Key{Workspace: q.Workspace, Request: q.Request}); ok {
		a.Service, a.Software, a.Known = o.Service, o.Software, true
	} else if software, ok := l.roster.SoleSoftware(q.Service, now); ok && a.Settled {
		a.Service, a.Software, a.Known = q.Service, software, true
	}
	return a
}
