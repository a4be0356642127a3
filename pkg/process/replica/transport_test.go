package replica

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/plantainbank/plantainbank/pkg/process/quorum"
)

// TestHungCallEndsWithinTheElectionTimeout sends two heartbeats to a peer that never answers the
// first call: the second must arrive before the peer starts an election, in every group.
func TestHungCallEndsWithinTheElectionTimeout(t *testing.T) {
	for _, timing := range []quorum.Timing{quorum.FastFailoverTiming(), quorum.StallTolerantTiming()} {
		calls := make(chan struct{}, 8)
		release := make(chan struct{})
		srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			calls <- struct{}{}
			<-release
		}))
		x := NewTransport(srv.Client(), "http://", "self", timing.Election)
		if limit := timing.Election - timing.Heartbeat; x.timeout > limit {
			t.Errorf("a call may take %v, with an election timeout of %v at most %v", x.timeout, timing.Election, limit)
		}
		members := quorum.Members{{ID: 2, Addr: strings.TrimPrefix(srv.URL, "http://")}}
		x.Send(members, []quorum.Message{{To: 2}})
		<-calls
		x.Send(members, []quorum.Message{{To: 2}})
		select {
		case <-calls:
		case <-time.After(20 * time.Second):
			t.Error("no second call")
		}
		close(release)
		srv.Close()
	}
}
