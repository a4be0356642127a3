package departure

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"

	"github.com/plantainbank/plantainbank/internal/process/roster"
)

// TestMarkLastsUntilTheServerStartsAgain replays rosters that differ from what the server has said.
func TestMarkLastsUntilTheServerStartsAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	x := Incarnation{"i", 5}
	list := func(born int64, state roster.State) []roster.Instance {
		return []roster.Instance{{ID: "h", Born: 1, State: roster.Ready}, {ID: "i", Born: born, State: state}}
	}
	type step struct {
		after       time.Duration
		roster      []roster.Instance
		leaves      bool
		unannounced int
	}
	for _, c := range []struct {
		name  string
		steps []step
	}{
		{"the roster still says ready", []step{{0, list(5, roster.Ready), true, 1}, {time.Hour, list(5, roster.Ready), true, 1}}},
		{"the roster says that it leaves", []step{{0, list(5, roster.Draining), true, 0}, {0, list(5, roster.Ready), true, 1}}},
		{"started again", []step{{0, list(6, roster.Ready), false, 0}}},
		{"an older roster", []step{{0, list(4, roster.Ready), true, 0}, {0, list(5, roster.Ready), true, 1}}},
		{"not in the roster for a moment", []step{{0, nil, true, 0}, {retention / 2, list(5, roster.Ready), true, 1}}},
		{"gone", []step{{0, list(5, roster.Gone), true, 0}, {retention, list(5, roster.Gone), false, 0}}},
	} {
		s := NewSet()
		if !s.Record(x) || s.Record(x) || s.Record(Incarnation{"i", 4}) {
			t.Fatal("a server was recorded twice, or not at all")
		}
		at := now
		for i, step := range c.steps {
			at = at.Add(step.after)
			s.Update(step.roster, at)
			if s.Leaves(x) != step.leaves || len(s.Unannounced()) != step.unannounced || s.Leaves(Incarnation{"i", 6}) {
				t.Errorf("%s, step %d: leaves %v, unannounced %v", c.name, i, s.Leaves(x), s.Unannounced())
			}
		}
	}
}

func TestMarksAreBounded(t *testing.T) {
	s := NewSet()
	for i := range maxMarks + 10 {
		s.Record(Incarnation{fmt.Sprint(i), 1})
	}
	if n := len(*s.all.Load()); n != maxMarks {
		t.Errorf("%d marks, want %d", n, maxMarks)
	}
	s.Update(nil, time.Unix(1000, 0))
	s.Update(nil, time.Unix(1000, 0).Add(retention))
	if n := len(*s.all.Load()); n != 0 {
		t.Errorf("%d marks of servers that are gone", n)
	}
}

func TestOnlyAValidHeaderMarks(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	for _, c := range []struct {
		values []string
		leaves bool
	}{
		{nil, false}, {[]string{"1"}, true}, {[]string{"0"}, false}, {[]string{"true"}, false}, {[]string{"11"}, false},
		{[]string{""}, false}, {[]string{"1", "1"}, false}, {[]string{"1", "0"}, false}, {[]string{"1, 1"}, false},
	} {
		s, reports := NewSet(), 0
		r := NewReader(ReaderConfig{Set: s, Header: "X-Leaving", Report: func(Incarnation) { reports++ }, Log: logrus.NewEntry(log), Scope: tally.NoopScope})
		var h fasthttp.ResponseHeader
		for _, v := range c.values {
			h.Add("X-Leaving", v)
		}
		for range 3 {
			r.Read(&h, Incarnation{"i", 5})
		}
		if s.Leaves(Incarnation{"i", 5}) != c.leaves || reports > 1 || (reports == 1) != c.leaves {
			t.Errorf("%q: leaves %v, %d reports", c.values, !c.leaves, reports)
		}
	}
	var none *Reader
	none.Read(&fasthttp.ResponseHeader{}, Incarnation{"i", 5})
}
