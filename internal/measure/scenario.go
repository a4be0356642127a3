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

// Sizes and times of the scenarios. The sizes are the current ones of the users; the times
// are scaled down.
const (
	entryHostCount   = 8
	tokenTime        = 20 * time.Millisecond
	tokensPerRequest = 10
	warmUpTime       = 8 * time.Second
	measuredTime     = 9 * time.Second
	requestDeadline  = 2 * time.Second
	// deadlineSlack is added to requestDeadline before an answer counts as late.
	deadlineSlack = 500 * time.Millisecond
	// engineCapacity is the maximum number of concurrent requests of one engine.
	engineCapacity = 8
	engineCount    = 10
)

// nominalCapacity is the capacity of all engines, in requests per second.
const nominalCapacity = engineCount * engineCapacity * float64(time.Second) / float64(tokensPerRequest*tokenTime)

// Policy is a named set of policy settings that is compared with others.
type Policy struct {
	Name string
	Set  func(*settings.Policy)
}

// Policies returns the default policy of this build and the baselines.
func Policies() []Policy {
	return []Policy{
		{"plantainbank", func(*settings.Policy) {}},
		{"least in flight, fixed limit", func(p *settings.Policy) {
			*p = settings.Policy{Choice: "least", FIFO: true, NoEarlyRefusal: true, IgnoreShares: true, FixedLimit: engineCapacity, RetryRatio: 1}
		}},
		{"round robin, no limit", func(p *settings.Policy) {
			*p = settings.Policy{Choice: "robin", FIFO: true, NoEarlyRefusal: true, IgnoreShares: true, FixedLimit: 100_000, RetryRatio: 1}
		}},
	}
}

// Scenario is an offered load, optionally with a fault.
type Scenario struct {
	Name string
	// Load is the total offered load as a fraction of nominalCapacity.
	Load float64
	// FloodLoad is the additional load of one small workspace, as a fraction of
	// nominalCapacity.
	FloodLoad float64
	// Fault is called when the measurement starts. It can be nil.
	Fault func(d *deployment.Deployment)
}

// Scenarios returns all scenarios.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "1x", Load: 1},
		{Name: "2x", Load: 2},
		{Name: "flood", Load: 0.6, FloodLoad: 1.5},
		{Name: "zone out and back", Load: 0.5, Fault: zoneOutAndBack},
		{Name: "all turn cold", Load: 0.5, Fault: makeAllCold},
		{Name: "leader lost", Load: 0.7, Fault: killLeader},
	}
}

// zoneOutAndBack takes one zone out of service for 4 s.
func zoneOutAndBack(d *deployment.Deployment) {
	time.Sleep(time.Second)
	setZoneState(d, "multan", "out")
	time.Sleep(4 * time.Second)
	setZoneState(d, "multan", "in")
}

// setZoneState submits the state of a zone, "in" or "out".
func setZoneState(d *deployment.Deployment, name, state string) {
	file := filepath.Join(d.Dir, "zone.json")
	text := fmt.Sprintf(`{"kind":"zone","name":%q,"schema":2,"spec":{"state":%q}}`, name, state)
	if os.WriteFile(file, []byte(text), 0o600) == nil {
		d.CLI("record", "put", file)
	}
}

// makeAllCold turns all engines cold at once.
func makeAllCold(d *deployment.Deployment) {
	time.Sleep(time.Second)
	for i := range engineCount {
		res, err := http.Post("http://"+d.ServerAddr(i)+"/fault", "application/json", strings.NewReader(`{"cold":true}`))
		if err == nil {
			res.Body.Close()
		}
	}
}

// killLeader kills the control leader.
func killLeader(d *deployment.Deployment) {
	time.Sleep(2 * time.Second)
	if i, err := leaderOf(d); err == nil {
		d.Process(fmt.Sprintf("control-%d", i)).Kill()
	}
}

// Result is the result of one run of a scenario.
type Result struct {
	Scenario, Policy string
	// Goodput is the number of answers per second within requestDeadline and deadlineSlack.
	Goodput float64
	// P50 and P99 are latencies in milliseconds.
	P50, P99      float64
	Late, Refused int
	Failed        int
	// WorstShare is the lowest fraction of its fair share that a workspace got.
	WorstShare float64
	// Overruns counts the requests beyond the capacity of an engine when they arrived.
	Overruns int
	// MinGoodput is the lowest number of good answers to the requests of one second.
	MinGoodput int
	// AttemptsPerAnswer is the number of attempts at engines per good answer.
	AttemptsPerAnswer float64
}

// ScenarioRun runs scenarios against policies.
type ScenarioRun struct {
	Bin, Standin, Fixture, Dir string
	Rounds                     int
	Out                        io.Writer
	// ScenarioFilter limits the run to scenarios whose name contains it.
	ScenarioFilter string
	// PolicyFilter limits the run to policies whose name contains it.
	PolicyFilter string
	// Verbose also prints the counts of each workspace and of each second.
	Verbose     bool
	deployments int
}

// Run runs every selected scenario for several rounds and prints the median and the range
// as Markdown. Within a round the policies take turns, so that slow changes of the machine
// affect all of them.
func (s *ScenarioRun) Run() error {
	fmt.Fprintln(s.Out, "| scenario | policy | goodput/s | p50 ms | p99 ms | late | refused | failed | worst-served | overruns | least in a second | attempts a good answer |")
	fmt.Fprintln(s.Out, "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, x := range Scenarios() {
		if !strings.Contains(x.Name, s.ScenarioFilter) {
			continue
		}
		all := map[string][]Result{}
		for round := range s.Rounds {
			for _, p := range s.policies() {
				r, err := s.runOnce(x, p, uint64(round+1))
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
	return slices.DeleteFunc(Policies(), func(p Policy) bool { return !strings.Contains(p.Name, s.PolicyFilter) })
}

// print prints the row of one scenario and policy.
func (s *ScenarioRun) print(all []Result) {
	summarize := func(format string, f func(Result) float64) string {
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
		summarize("%.0f", func(r Result) float64 { return r.Goodput }), summarize("%.0f", func(r Result) float64 { return r.P50 }),
		summarize("%.0f", func(r Result) float64 { return r.P99 }), summarize("%.0f", func(r Result) float64 { return float64(r.Late) }),
		summarize("%.0f", func(r Result) float64 { return float64(r.Refused) }), summarize("%.0f", func(r Result) float64 { return float64(r.Failed) }),
		summarize("%.2f", func(r Result) float64 { return r.WorstShare }), summarize("%.0f", func(r Result) float64 { return float64(r.Overruns) }),
		summarize("%.0f", func(r Result) float64 { return float64(r.MinGoodput) }), summarize("%.2f", func(r Result) float64 { return r.AttemptsPerAnswer }))
}

// runOnce runs one scenario with one policy in a new deployment.
func (s *ScenarioRun) runOnce(x Scenario, p Policy, seed uint64) (Result, error) {
	d, err := s.deploy(p)
	if err != nil {
		return Result{}, err
	}
	defer d.StopAll()
	workspaces, err := setUpWorkspaces(d, x)
	if err != nil {
		return Result{}, err
	}
	l := newLoad(d.CallerAddrs(), workspaces, "slips", tokensPerRequest, requestDeadline+deadlineSlack)
	ctx, cancel := context.WithTimeout(context.Background(), warmUpTime+measuredTime)
	defer cancel()
	if x.Fault != nil {
		time.AfterFunc(warmUpTime, func() { x.Fault(d) })
	}
	time.AfterFunc(warmUpTime, func() { resetStats(d) })
	l.run(ctx, seed, time.Now().Add(warmUpTime))
	return s.result(x, p, d, l), nil
}

// deploy starts a new deployment whose entry processes use the policy.
func (s *ScenarioRun) deploy(p Policy) (*deployment.Deployment, error) {
	s.deployments++
	dir := filepath.Join(s.Dir, fmt.Sprint("scenario-", s.deployments))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	d, err := deployment.New(dir, s.Bin, s.Standin, s.Fixture, fmt.Sprintf("127.78.%d", s.deployments))
	if err != nil {
		return nil, err
	}
	d.EntryHosts = entryHostCount
	d.Pools[0].ServiceTime, d.Pools[0].Capacity, d.Pools[0].WarmupRequests = settings.Duration(tokenTime), engineCapacity, 8
	d.EditEntry = func(c *settings.Entry) { p.Set(&c.Policy) }
	if err := d.StartAll(); err != nil {
		return nil, err
	}
	return d, d.AwaitReady()
}

// workspaceWeights are the weights of the workspaces: eight, two of them large.
var workspaceWeights = []float64{4, 4, 1, 1, 1, 1, 1, 2}

// setUpWorkspaces submits the workspaces, makes their keys and waits until control lists all
// backend servers. The load of the scenario is divided by the weights.
func setUpWorkspaces(d *deployment.Deployment, x Scenario) ([]Workspace, error) {
	sum := 0.0
	for _, w := range workspaceWeights {
		sum += w
	}
	var out []Workspace
	for i, w := range workspaceWeights {
		name := fmt.Sprintf("ws-%d", i)
		body := fmt.Sprintf(`{"request":%q,"kind":"workspace","name":%q,"schema":2,"spec":{"weight":%g,"deadline":%d}}`, name, name, w, requestDeadline.Milliseconds())
		if _, err := callOperator(d, http.MethodPost, "/operator/records", body); err != nil {
			return nil, err
		}
		if _, err := d.CLI("key", "new", name, name); err != nil {
			return nil, err
		}
		key, err := os.ReadFile(filepath.Join(d.Dir, name+".key"))
		if err != nil {
			return nil, err
		}
		out = append(out, Workspace{Name: name, Weight: w, Key: string(key), Rate: x.Load * nominalCapacity * w / sum})
	}
	out[2].Rate += x.FloodLoad * nominalCapacity
	return out, deployment.Await("status lists all backend servers", func() bool {
		status, err := d.CLI("status")
		return err == nil && strings.Count(status, "\nbackend") >= d.ServerCount()
	})
}

// engineStats returns the overruns and the started requests, summed over all engines.
func engineStats(d *deployment.Deployment) standin.Stats {
	var sum standin.Stats
	for i := range engineCount {
		res, err := http.Get("http://" + d.ServerAddr(i) + "/stats")
		if err != nil {
			continue
		}
		var one standin.Stats
		if json.NewDecoder(res.Body).Decode(&one) == nil {
			sum.OverCapacity += one.OverCapacity
			sum.Started += one.Started
		}
		res.Body.Close()
	}
	return sum
}

// resetStats resets the statistics of all engines.
func resetStats(d *deployment.Deployment) {
	for i := range engineCount {
		res, err := http.Post("http://"+d.ServerAddr(i)+"/reset", "application/json", nil)
		if err == nil {
			res.Body.Close()
		}
	}
}

func (s *ScenarioRun) result(x Scenario, p Policy, d *deployment.Deployment, l *load) Result {
	all, stats := l.total(), engineStats(d)
	r := Result{Scenario: x.Name, Policy: p.Name, Goodput: float64(all.Good) / measuredTime.Seconds(), Late: all.Late,
		Refused: all.Refused, Failed: all.Failed, Overruns: stats.OverCapacity, WorstShare: worstShare(l),
		P50: float64(all.Latency.ValueAtQuantile(50)) / 1000, P99: float64(all.Latency.ValueAtQuantile(99)) / 1000,
		AttemptsPerAnswer: float64(stats.Started) / float64(max(1, all.Good)), MinGoodput: all.Good}
	if s.Verbose {
		for _, w := range l.workspaces {
			x := l.tallies[w.Name]
			fmt.Fprintf(s.Out, "%s: offered %d good %d late %d refused %d failed %d\n", w.Name, x.Offered, x.Good, x.Late, x.Refused, x.Failed)
		}
		fmt.Fprintln(s.Out, "good by second:", l.goodBySecond)
	}
	for i := range int(measuredTime.Seconds()) {
		r.MinGoodput = min(r.MinGoodput, l.goodBySecond[i])
	}
	return r
}

// worstShare returns the lowest fraction of its fair share that a workspace was served. The
// fair shares divide the nominal capacity by weighted max-min fairness.
func worstShare(l *load) float64 {
	var demands []share.Demand
	for _, w := range l.workspaces {
		demands = append(demands, share.Demand{Party: w.Name, Weight: w.Weight, Amount: float64(l.tallies[w.Name].Offered)})
	}
	fair := share.FairSplit(nominalCapacity*measuredTime.Seconds(), demands)
	lowest := 1.0
	for name, fairShare := range fair {
		if fairShare > 0 {
			lowest = min(lowest, float64(l.tallies[name].Good)/fairShare)
		}
	}
	return lowest
}
