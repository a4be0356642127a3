package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"

	"github.com/plantainbank/plantainbank/internal/connection/httpheader"
	"github.com/plantainbank/plantainbank/internal/request/forward"
	"github.com/plantainbank/plantainbank/internal/request/origin"
	"github.com/plantainbank/plantainbank/internal/version/routing"
	"github.com/plantainbank/plantainbank/service/fleet"
)

// streamLeader is a control leader that knows of one stream, and has a roster revision.
type streamLeader struct {
	fleet.Director
	roster uint64
}

func (l *streamLeader) Find(_ context.Context, q *fleet.Stream) (*fleet.Stream, error) {
	return &fleet.Stream{Workspace: q.Workspace, Request: q.Request, Service: "s", Software: "v1", Known: true, Settled: true, Roster: l.roster}, nil
}

func (l *streamLeader) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	fleet.NewDirectorServer(l).ServeHTTP(w, r)
	return w.Result(), nil
}

// TestOutdatedHostTakesUpNoStream guards against a host that stood still or was cut off: a server that
// started again under its ID with another software version is still of the version before in its
// roster. It must not take up a stream by a roster that is older than the leader's. A leader of an older
// version names none.
func TestOutdatedHostTakesUpNoStream(t *testing.T) {
	for _, c := range []struct {
		name   string
		roster uint64
		taken  bool
	}{{"older roster than the leader", 7, false}, {"leader of an older version", 0, true}} {
		synctest.Test(t, func(t *testing.T) {
			s := newTestServer(&storeGroup{})
			s.cfg.Headers, s.cfg.Scope = httpheader.Names{LastEventID: "Last-Event-Id", Resumes: "Resumes"}, tally.NoopScope
			s.originClient = origin.New(origin.Config{Table: origin.NewTable(10), Client: &http.Client{Transport: &streamLeader{roster: c.roster}},
				Leader: func() string { return "control:1" }, Log: s.log, Scope: tally.NoopScope})
			r := &forward.Request{ID: "b", Workspace: "w", Raw: &fasthttp.Request{}, Deadline: time.Now().Add(4 * time.Second),
				Route: &routing.Route{Resumable: true, Targets: []routing.Target{{Service: "s", Weight: 1}}}}
			r.Raw.Header.Set("Last-Event-Id", "2")
			r.Raw.Header.Set("Resumes", "a")
			refused := s.takeUp(context.Background(), r)
			if (refused == nil) != c.taken || refused != nil && refused.Status != http.StatusServiceUnavailable {
				t.Errorf("%s: %+v", c.name, refused)
			}
			if c.taken && (r.Software == nil || *r.Software != "v1") {
				t.Errorf("%s: goes on at software version %v", c.name, r.Software)
			}
		})
	}
}
