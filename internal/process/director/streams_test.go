package director

import (
	"testing"
	"time"

	"github.com/plantainbank/plantainbank/internal/process/roster"
	"github.com/plantainbank/plantainbank/internal/request/origin"
	"github.com/plantainbank/plantainbank/service/fleet"
)

// TestNewLeaderDoesNotGuessWhereStreamsBegan guards against a leader whose copy of the roster is older
// than that of the host at which a stream began: it knows one software version, the stream began at
// another one. It must not name the one before all servers have announced themselves, and all hosts
// have told it of their streams.
func TestNewLeaderDoesNotGuessWhereStreamsBegan(t *testing.T) {
	now := time.Unix(1000, 0)
	server := func(id, software string) roster.Instance {
		return roster.Instance{ID: id, Service: "s", Addr: "10.0.0.1:80", Slots: 4, State: roster.Ready, Born: 1, Seq: 1, Software: software}
	}
	l := newLeadership(2, now)
	l.roster.Load([]roster.Instance{server("old", "v1")}, now) // the copy of before the release
	ask := func(after time.Duration) *fleet.Stream {
		return l.findStream(&fleet.Stream{Workspace: "w", Request: "r", Service: "s"}, now.Add(after))
	}
	if a := ask(10 * time.Millisecond); a.Known || a.Settled {
		t.Errorf("right after the election: %v", a)
	}
	l.roster.Announce(server("new", "v2"), now.Add(1200*time.Millisecond))
	if a := ask(2100 * time.Millisecond); a.Known {
		t.Errorf("after the announcement of another version: %v", a)
	}
	l.streams.Add(origin.Key{Workspace: "w", Request: "r"}, origin.Origin{Service: "s", Software: "v2"}, now.Add(1300*time.Millisecond))
	if a := ask(1300 * time.Millisecond); !a.Known || a.Software != "v2" || a.Roster != l.roster.RoutingRevision {
		t.Errorf("after the host has told of the stream: %v", a)
	}

	l = newLeadership(3, now)
	l.roster.Load([]roster.Instance{server("old", "v1")}, now)
	if a := ask(3 * time.Second); !a.Known || a.Software != "v1" {
		t.Errorf("a settled leader with a single version: %v", a)
	}
}
