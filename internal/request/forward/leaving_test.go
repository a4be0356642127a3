package forward

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/plantainbank/plantainbank/internal/connection/departure"
	"github.com/plantainbank/plantainbank/internal/connection/placement"
	"github.com/plantainbank/plantainbank/internal/process/roster"
	"github.com/plantainbank/plantainbank/internal/version/routing"
	"github.com/plantainbank/plantainbank/pkg/request/attempt"
)

// TestOnlyOwnResponsesSayThatAServerLeaves serves responses of the server, of another instance at its
// address, and to another request, all of which say that the server leaves.
func TestOnlyOwnResponsesSayThatAServerLeaves(t *testing.T) {
	for _, c := range []struct {
		name   string
		status int
		id     string
		leaves bool
	}{
		{"served", http.StatusOK, "", true},
		{"failed", http.StatusInternalServerError, "", true},
		{"not run", http.StatusServiceUnavailable, "", true},
		{"another instance", http.StatusMisdirectedRequest, "", false},
		{"another request", http.StatusOK, "other", false},
		{"another request failed", http.StatusInternalServerError, "other", false},
	} {
		var reports atomic.Int32
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			id := r.Header.Get("X-Request")
			if c.id != "" {
				id = c.id
			}
			w.Header().Set("X-Request", id)
			w.Header().Set("X-Signature", "s")
			w.Header().Set("X-Leaving", "1")
			if c.status == http.StatusServiceUnavailable {
				w.Header().Set("X-Not-Run", "1")
			}
			w.WriteHeader(c.status)
			fmt.Fprint(w, "ok")
		}))
		log := logrus.New()
		log.SetOutput(t.Output())
		log.SetLevel(logrus.ErrorLevel)
		table := placement.NewTable()
		table.Update([]roster.Instance{{ID: "i", Service: "svc", Addr: strings.TrimPrefix(srv.URL, "http://"), Slots: 8, State: roster.Ready,
			Born: 7}}, nil, routing.NewTable(&routing.Config{}), 1)
		f := New(Config{Table: table, Client: attempt.NewClient(), Headers: headers, Log: logrus.NewEntry(log), Scope: tally.NoopScope,
			OnStart: func(string) {}, Departures: departure.NewReader(departure.ReaderConfig{Set: table.Departures, Header: "X-Leaving",
				Report: func(departure.Incarnation) { reports.Add(1) }, Log: logrus.NewEntry(log), Scope: tally.NoopScope})})
		r := newRequest("r", "ok")
		r.Route.MaxAttempts = 1
		f.Do(context.Background(), r)
		srv.Close()
		if got := table.Departures.Leaves(departure.Incarnation{ID: "i", Born: 7}); got != c.leaves || (reports.Load() == 1) != c.leaves {
			t.Errorf("%s: leaves %v, %d reports", c.name, got, reports.Load())
		}
		if a := f.Do(context.Background(), newRequest("s", "ok")); c.leaves && a.Status != http.StatusServiceUnavailable {
			t.Errorf("%s: the next request was answered with %d", c.name, a.Status)
		}
	}
}
