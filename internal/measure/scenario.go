package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/plantainbank/plantainbank/internal/deployment"
	"github.com/plantainbank/plantainbank/internal/standin"
	"github.com/plantainbank/plantainbank/pkg/process/settings"
	"github.com/plantainbank/plantainbank/pkg/process/share"
)

// Shape of the scenarios: the users' sizes of today, with times scaled down.
const (
	entryHosts   = 8
	tokenTime    = 20 * time.Millisecond
	tokens       = 10
	warmUp       = 8 * time.Second
	measured     = 9 * time.Second
	deadline     = 2 * time.Second
	answerAllow  = 500 * time.Millisecond
	engineBears  = 8
	engineNumber = 10
)

// capacity is what the engines bear, in requests a second.
const capacity = engineNumber * engineBears * float64(time.Second) / float64(tokens*tokenTime)

// Policy is a set of switches that is compared.
type Policy struct {
	Name string
	Set  func(*settings.Policy)
}

// Policies are this build and the baselines.
func Policies() []Policy {
	return []Policy{
		{"plantainbank", func(*settings.Policy) {}},
		{"least in flight, fixed limit", func(p *settings.Policy) {
			*p = settings.Policy{Choice: "least", FIFO: true, NoEarlyRefusal: true, IgnoreShares: true, FixedLimit: engineBears, RetryRatio: 1}
		}},
		{"round robin, no limit", func(p *settings.Policy) {
			*p = settings.Policy{Choice: "robin", FIFO: true, NoEarlyRefusal: true, IgnoreShares: true, FixedLimit: 100_000, RetryRatio: 1}
		}},
	}
}

// Scenario is a load with a fault.
type Scenario struct {
	Name string
	// Load is the offered load in parts of the capacity.
	Load float64
	// Flood makes one small workspace offer this much of the capacity more.
	Flood float64
	// Fault runs while the load is measured.
	Fault func(d *deployment.Deployment)
}

// Scenarios lists the scenarios.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "1x", Load: 1},
		{Name: "2x", Load: 2},
		{Name: "flood", Load: 0.6, Flood: 1.5},
		{Name: "zone out and back", Load: 0.5, Fault: zoneOutAndBack},
		{Name: "all turn cold", Load: 0.5, Fault: allCold},
		{Name: "leader lost", Load: 0.7, Fault: leaderLost},
	}
}

func zoneOutAndBack(d *deployment.Deployment) {
	time.Sleep(time.Second)
	setZone(d, "multan", "out")
	time.Sleep(4 * time.Second)
	setZone(d, "multan", "in")
}

func setZone(d *deployment.Deployment, name, state string) {
	file := filepath.Join(d.Dir, "zone.json")
	text := fmt.Sprintf(`{"kind":"zone","name":%q,"schema":2,"spec":{"state":%q}}`, name, state)
	if os.WriteFile(file, []byte(text), 0o600) == nil {
		d.CLI("record", "put", file)
	}
}

func allCold(d *deployment.Deployment) {
	time.Sleep(time.Second)
	for i := range engineNumber {
		res, err := http.Post("http://"+d.ServerAddr(i)+"/fault", "application/json", strings.NewReader(`{"cold":true}`))
		if err == nil {
			res.Body.Close()
		}
	}
}

func leaderLost(d *deployment.Deployment) {
	time.Sleep(2 * time.Second)
	if i, err := leaderOf(d); err == nil {
		d.Process(fmt.Sprintf("control-%d", i)).Kill()
	}
}

// Result is one run of a scenario.
type Result struct {
	Scenario, Policy string
	Goodput          float64
	P50, P99         float64
	Late, Refused    int
	Failed           int
	// Worst is the worst-served workspace's part of its fair share.
	Worst float64
	// Over counts requests that found an engine beyond what it bore.
	Over int
	// Least is the lowest goodput of a second.
	Least int
	// Attempts is the number of attempts at engines for each good answer.
	Attempts float64
}

// ScenarioRun runs scenarios against policies.
type ScenarioRun struct {
	Bin, Standin, Fixture, Dir string
	Rounds                     int
	Out                        io.Writer
	// Only limits the run to scenarios whose name contains it.
	Only string
	// Policy limits the run to policies whose name contains it.
	Policy string
	// Detail prints each workspace and each second.
	Detail bool
	number int
}

// Run runs every scenario with every policy in turn, several rounds, and
// prints the median and the spread.
func (s *ScenarioRun) Run() error {
	fmt.Fprintln(s.Out, "| scenario | policy | goodput/s | p50 ms | p99 ms | late | refused | failed | worst-served | overruns | least in a second | attempts a good answer |")
	fmt.Fprintln(s.Out, "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, x := range Scenarios() {
		if !strings.Contains(x.Name, s.Only) {
			continue
		}
		all := map[string][]Result{}
		for round := range s.Rounds {
			for _, p := range s.policies() {
				r, err := s.once(x, p, uint64(round+1))
				if err != nil {
					return fmt.Errorf("%s, %s: %w", x.Name, p.Name, err)
				}
				all[p.Name] = append(all[p.Name], r)
			}
		}
		for _, p := range s.policies() {
			s.print(all[p.Name])
		}
	}
	return nil
}

func (s *ScenarioRun) policies() []Policy {
	return slices.DeleteFunc(Policies(), func(p Policy) bool { return !strings.Contains(p.Name, s.Policy) })
}

func (s *ScenarioRun) print(all []Result) {
	show := func(format string, f func(Result) float64) string {
		var xs []float64
		for _, r := range all {
			xs = append(xs, f(r))
		}
		slices.Sort(xs)
		text := fmt.Sprintf(format, xs[len(xs)/2])
		if len(xs) > 1 {
			text += fmt.Sprintf(" ("+format+"–"+format+")", xs[0], xs[len(xs)-1])
		}
		return text
	}
	fmt.Fprintf(s.Out, "| %s | %s | %s | %s | %s | %s | %s | %s | %s | %s | %s | %s |\n", all[0].Scenario, all[0].Policy,
		show("%.0f", func(r Result) float64 { return r.Goodput }), show("%.0f", func(r Result) float64 { return r.P50 }),
		show("%.0f", func(r Result) float64 { return r.P99 }), show("%.0f", func(r Result) float64 { return float64(r.Late) }),
		show("%.0f", func(r Result) float64 { return float64(r.Refused) }), show("%.0f", func(r Result) float64 { return float64(r.Failed) }),
		show("%.2f", func(r Result) float64 { return r.Worst }), show("%.0f", func(r Result) float64 { return float64(r.Over) }),
		show("%.0f", func(r Result) float64 { return float64(r.Least) }), show("%.2f", func(r Result) float64 { return r.Attempts }))
}

// once runs one scenario with one policy.
func (s *ScenarioRun) once(x Scenario, p Policy, seed uint64) (Result, error) {
	d, err := s.deploy(p)
	if err != nil {
		return Result{}, err
	}
	defer d.StopAll()
	tenants, err := setUpTenants(d, x)
	if err != nil {
		return Result{}, err
	}
	l := newLoad(d.CallerAddrs(), tenants, "slips", tokens, deadline+answerAllow)
	ctx, cancel := context.WithTimeout(context.Background(), warmUp+measured)
	defer cancel()
	if x.Fault != nil {
		time.AfterFunc(warmUp, func() { x.Fault(d) })
	}
	time.AfterFunc(warmUp, func() { resetStats(d) })
	l.run(ctx, seed, time.Now().Add(warmUp))
	return s.result(x, p, d, l), nil
}

func (s *ScenarioRun) deploy(p Policy) (*deployment.Deployment, error) {
	s.number++
	dir := filepath.Join(s.Dir, fmt.Sprint("scenario-", s.number))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	d, err := deployment.New(dir, s.Bin, s.Standin, s.Fixture, fmt.Sprintf("127.78.%d", s.number))
	if err != nil {
		return nil, err
	}
	d.Entries = entryHosts
	d.Pools[0].Work, d.Pools[0].Bears, d.Pools[0].Cold = settings.Duration(tokenTime), engineBears, 8
	d.EditEntry = func(c *settings.Entry) { p.Set(&c.Policy) }
	if err := d.StartAll(); err != nil {
		return nil, err
	}
	return d, d.AwaitReady()
}

// weights of the workspaces: eight, two of them large.
var weights = []float64{4, 4, 1, 1, 1, 1, 1, 2}

func setUpTenants(d *deployment.Deployment, x Scenario) ([]Tenant, error) {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	var out []Tenant
	for i, w := range weights {
		name := fmt.Sprintf("ws-%d", i)
		body := fmt.Sprintf(`{"request":%q,"kind":"workspace","name":%q,"schema":2,"spec":{"weight":%g,"deadline":%d}}`, name, name, w, deadline.Milliseconds())
		if _, err := operate(d, http.MethodPost, "/operator/records", body); err != nil {
			return nil, err
		}
		if _, err := d.CLI("key", "new", name, name); err != nil {
			return nil, err
		}
		key, err := os.ReadFile(filepath.Join(d.Dir, name+".key"))
		if err != nil {
			return nil, err
		}
		out = append(out, Tenant{Name: name, Weight: w, Key: string(key), Rate: x.Load * capacity * w / sum})
	}
	out[2].Rate += x.Flood * capacity
	return out, deployment.Await("all engines in the table", func() bool {
		status, err := d.CLI("status")
		return err == nil && strings.Count(status, "\nbackend") >= d.Servers()
	})
}

func engineStats(d *deployment.Deployment) standin.Stats {
	var sum standin.Stats
	for i := range engineNumber {
		res, err := http.Get("http://" + d.ServerAddr(i) + "/stats")
		if err != nil {
			continue
		}
		var one standin.Stats
		if json.NewDecoder(res.Body).Decode(&one) == nil {
			sum.Over += one.Over
			sum.Started += one.Started
		}
		res.Body.Close()
	}
	return sum
}

func resetStats(d *deployment.Deployment) {
	for i := range engineNumber {
		res, err := http.Post("http://"+d.ServerAddr(i)+"/reset", "application/json", nil)
		if err == nil {
			res.Body.Close()
		}
	}
}

func (s *ScenarioRun) result(x Scenario, p Policy, d *deployment.Deployment, l *load) Result {
	all, stats := l.total(), engineStats(d)
	r := Result{Scenario: x.Name, Policy: p.Name, Goodput: float64(all.Good) / measured.Seconds(), Late: all.Late,
		Refused: all.Refused, Failed: all.Failed, Over: stats.Over, Worst: worst(l),
		P50: float64(all.Latency.ValueAtQuantile(50)) / 1000, P99: float64(all.Latency.ValueAtQuantile(99)) / 1000,
		Attempts: float64(stats.Started) / float64(max(1, all.Good)), Least: all.Good}
	if s.Detail {
		for _, t := range l.tenants {
			x := l.tallies[t.Name]
			fmt.Fprintf(s.Out, "%s: offered %d good %d late %d refused %d failed %d\n", t.Name, x.Offered, x.Good, x.Late, x.Refused, x.Failed)
		}
		fmt.Fprintln(s.Out, "good by second:", l.seconds)
	}
	for i := range int(measured.Seconds()) {
		r.Least = min(r.Least, l.seconds[i])
	}
	return r
}

// worst returns the lowest part of its fair share that a workspace was served.
// The fair share is weighted max-min fairness over the nominal capacity.
func worst(l *load) float64 {
	var wants []share.Demand
	for _, t := range l.tenants {
		wants = append(wants, share.Demand{Party: t.Name, Weight: t.Weight, Amount: float64(l.tallies[t.Name].Offered)})
	}
	fair := share.FairSplit(capacity*measured.Seconds(), wants)
	least := 1.0
	for name, part := range fair {
		if part > 0 {
			least = min(least, float64(l.tallies[name].Good)/part)
		}
	}
	return least
}
