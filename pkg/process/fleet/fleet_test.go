package fleet

import (
	"testing"
	"time"
)

var begin = time.Unix(1000, 0)

func zones() []Zone {
	maxServers, minServers := map[string]int{"p": 4}, map[string]int{"p": 1}
	return []Zone{{Name: "a", Available: true, MaxServers: maxServers, MinServers: minServers, Price: 1}, {Name: "b", Available: true, MaxServers: maxServers, MinServers: minServers, Price: 1},
		{Name: "c", Available: true, MaxServers: maxServers, Price: 2}}
}

func total(orders []Order) int {
	n := 0
	for _, o := range orders {
		n += o.Steady + o.Cheap
	}
	return n
}

func TestPlanFollowsNeed(t *testing.T) {
	for _, c := range []struct {
		name   string
		demand float64
		edit   func(p *Planner, z []Zone)
		want   map[string]int
	}{
		{"idle keeps the minimum", 0, nil, map[string]int{"a": 1, "b": 1, "c": 0}},
		{"spread over equal prices", 32, nil, map[string]int{"a": 3, "b": 2, "c": 0}},
		{"expensive zone when the cheaper ones are full", 80, nil, map[string]int{"a": 4, "b": 4, "c": 4}},
		{"zone out of service", 32, func(_ *Planner, z []Zone) { z[0].Available = false }, map[string]int{"a": 0, "b": 4, "c": 1}},
		{"shortage", 32, func(p *Planner, _ []Zone) { p.ReportShortage("a", "p", 1, begin) }, map[string]int{"a": 1, "b": 4, "c": 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := New(0.25, 20*time.Second, 10*time.Second)
			z := zones()
			if c.edit != nil {
				c.edit(p, z)
			}
			for _, o := range p.Plan([]Demand{{Pool: "p", Amount: c.demand, ServerCapacity: 8}}, z, nil, begin) {
				if o.Steady+o.Cheap != c.want[o.Zone] {
					t.Errorf("zone %s: %d servers ordered, want %d", o.Zone, o.Steady+o.Cheap, c.want[o.Zone])
				}
			}
		})
	}
}

func TestShortDipDoesNotScaleDown(t *testing.T) {
	p := New(0, 20*time.Second, time.Second)
	at := func(s int, amount float64) int {
		return total(p.Plan([]Demand{{Pool: "p", Amount: amount, ServerCapacity: 8}}, zones(), nil, begin.Add(time.Duration(s)*time.Second)))
	}
	for _, c := range []struct {
		second int
		amount float64
		want   int
	}{{0, 64, 8}, {5, 8, 8}, {19, 8, 8}, {21, 8, 2}, {22, 64, 8}} {
		if n := at(c.second, c.amount); n != c.want {
			t.Errorf("after %d s: %d servers, want %d", c.second, n, c.want)
		}
	}
}

func TestCurrentOrdersAreNotRepeated(t *testing.T) {
	p := New(0, time.Second, time.Second)
	demand := []Demand{{Pool: "p", Amount: 32, ServerCapacity: 8}}
	first := p.Plan(demand, zones(), nil, begin)
	if again := p.Plan(demand, zones(), first, begin); len(again) != 0 {
		t.Fatalf("current orders were repeated: %v", again)
	}
}
