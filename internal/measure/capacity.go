package measure

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/plantainbank/plantainbank/internal/deployment"
	"github.com/plantainbank/plantainbank/pkg/process/settings"
)

// Point is a measurement with a given number of hosts, backend servers and records.
type Point struct {
	Hosts, Servers, Records int
	// LeaderCPU and FollowerCPU are fractions of one core.
	LeaderCPU, FollowerCPU float64
	LeaderMB, FollowerMB   float64
	// RenewalRate is the number of lease renewals per second. BytesPerHost is the traffic
	// between control and one entry host, in bytes per second.
	RenewalRate, BytesPerHost float64
	// PropagationMs is the time from the submission of a change until every host has it,
	// in milliseconds.
	PropagationMs float64
}

// Capacity measures how the load of the control hosts grows with the number of hosts,
// backend servers, records and samples.
type Capacity struct {
	Bin, Standin, Fixture, Dir string
	// Period is the duration of one measurement.
	Period      time.Duration
	Out         io.Writer
	deployments int
}

// settleTime is the time after a start until the first control leader has published its
// table of backend servers.
const settleTime = 4 * time.Second

// startGroup starts a new deployment with three control processes, one entry process and
// no backend servers.
func (c *Capacity) startGroup() (*deployment.Deployment, error) {
	c.deployments++
	dir := filepath.Join(c.Dir, strconv.Itoa(c.deployments))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	d, err := deployment.New(dir, c.Bin, c.Standin, c.Fixture, fmt.Sprintf("127.77.%d", c.deployments))
	if err != nil {
		return nil, err
	}
	d.Pools, d.EntryHosts = nil, 1
	d.EditControl = func(s *settings.Control) { s.Platform = settings.Platform{} }
	if err := d.StartAll(); err != nil {
		return nil, err
	}
	return d, d.AwaitReady()
}

// Measure measures one point in a new deployment.
func (c *Capacity) Measure(hosts, servers, records int) (Point, error) {
	p := Point{Hosts: hosts, Servers: servers, Records: records}
	d, err := c.startGroup()
	if err != nil {
		return p, err
	}
	defer d.StopAll()
	if err := putWorkspaces(d, records); err != nil {
		return p, err
	}
	control := []string{d.ControlAddr(0), d.ControlAddr(1), d.ControlAddr(2)}
	f := startFakeHosts(control, hosts, servers)
	defer f.stop()
	time.Sleep(settleTime)
	leader, err := leaderOf(d)
	if err != nil {
		return p, err
	}
	renewals, bytes := f.renewals.Load(), f.bytes.Load()
	start := time.Now()
	follower := make(chan Usage, 1)
	go func() {
		u, _ := measureUsage(d.Process("control-"+strconv.Itoa((leader+1)%3)).PID(), c.Period)
		follower <- u
	}()
	u, err := measureUsage(d.Process("control-"+strconv.Itoa(leader)).PID(), c.Period)
	if err != nil {
		return p, err
	}
	seconds := time.Since(start).Seconds()
	p.RenewalRate = float64(f.renewals.Load()-renewals) / seconds
	p.BytesPerHost = float64(f.bytes.Load()-bytes) / seconds / float64(hosts)
	p.LeaderCPU, p.LeaderMB = u.CPU, float64(u.ResidentBytes)/1e6
	u = <-follower
	p.FollowerCPU, p.FollowerMB = u.CPU, float64(u.ResidentBytes)/1e6
	p.PropagationMs, err = c.measurePropagation(d, f, hosts)
	return p, err
}

// measurePropagation returns the time from the submission of a change until every host has
// it, in milliseconds.
func (c *Capacity) measurePropagation(d *deployment.Deployment, f *fakeHosts, hosts int) (float64, error) {
	start := time.Now()
	revision, err := putWorkspace(d, "last", 1)
	if err != nil {
		return 0, err
	}
	var took time.Duration
	err = deployment.Await("every host has the change", func() (ok bool) {
		took, ok = f.propagationTime(start, revision, hosts)
		return ok
	})
	return float64(took.Milliseconds()), err
}

// leaderOf returns the number of the control process that leads, from the output of the
// status command.
func leaderOf(d *deployment.Deployment) (int, error) {
	out, err := d.CLI("status")
	if err != nil {
		return 0, err
	}
	for i := range d.ControlHosts {
		if strings.Fields(out)[1] == d.ControlAddr(i) {
			return i, nil
		}
	}
	return 0, fmt.Errorf("status names none of the %d control addresses as leader: %q", d.ControlHosts, out)
}

// putWorkspaces submits n workspaces.
func putWorkspaces(d *deployment.Deployment, n int) error {
	for i := range n {
		if _, err := putWorkspace(d, fmt.Sprintf("w%d", i), 1); err != nil {
			return err
		}
	}
	return nil
}

// putWorkspace submits a workspace and returns the revision of the change.
func putWorkspace(d *deployment.Deployment, name string, weight float64) (uint64, error) {
	body := fmt.Sprintf(`{"request":"measure-%s","kind":"workspace","name":%q,"schema":2,"replaces":0,"spec":{"weight":%g}}`, name, name, weight)
	data, err := callOperator(d, http.MethodPost, "/operator/records", body)
	if err != nil {
		return 0, err
	}
	var a struct{ Revision uint64 }
	err = json.Unmarshal(data, &a)
	return a.Revision, err
}

// callOperator sends a request to the operator interface of entry process 0 and returns
// the body of the answer.
func callOperator(d *deployment.Deployment, method, path, body string) ([]byte, error) {
	req, err := http.NewRequest(method, "http://"+d.OperatorAddr(0)+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+deployment.OperatorToken)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err == nil && res.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s %s: status %d: %s", method, path, res.StatusCode, data)
	}
	return data, err
}

// capacityPoints lists the hosts, backend servers and records of the points that Run
// measures. Between the points of one row only one of the three varies; printFits selects
// the points of a fit by their index.
var capacityPoints = [][3]int{
	{8, 13, 20}, {64, 13, 20}, {195, 13, 20}, {390, 13, 20},
	{8, 200, 20}, {8, 800, 20}, {8, 2400, 20},
	{64, 200, 20}, {64, 400, 20},
	{8, 13, 1000}, {8, 13, 4000},
}

// Run measures all points and prints them and the linear fits through them as Markdown.
func (c *Capacity) Run() error {
	fmt.Fprintln(c.Out, "| hosts | servers | records | leader core % | follower core % | leader MB | follower MB | renewals/s | bytes/s a host | in force ms |")
	fmt.Fprintln(c.Out, "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	var all []Point
	for _, x := range capacityPoints {
		p, err := c.Measure(x[0], x[1], x[2])
		if err != nil {
			return fmt.Errorf("%d hosts, %d servers, %d records: %w", x[0], x[1], x[2], err)
		}
		all = append(all, p)
		fmt.Fprintf(c.Out, "| %d | %d | %d | %.2f | %.2f | %.1f | %.1f | %.0f | %.0f | %.0f |\n", p.Hosts, p.Servers, p.Records,
			100*p.LeaderCPU, 100*p.FollowerCPU, p.LeaderMB, p.FollowerMB, p.RenewalRate, p.BytesPerHost, p.PropagationMs)
	}
	c.printFits(all)
	return nil
}

// printFits prints linear fits through the points that differ in one number.
func (c *Capacity) printFits(all []Point) {
	printFit := func(what string, from, to int, x func(Point) float64, y func(Point) float64) {
		var xs, ys []float64
		for _, p := range all[from:to] {
			xs, ys = append(xs, x(p)), append(ys, y(p))
		}
		f := fitLine(xs, ys)
		fmt.Fprintf(c.Out, "- %s: %.4g + %.4g x\n", what, f.Base, f.Slope)
	}
	hosts := func(p Point) float64 { return float64(p.Hosts) }
	servers := func(p Point) float64 { return float64(p.Servers) }
	records := func(p Point) float64 { return float64(p.Records) }
	core := func(p Point) float64 { return 100 * p.LeaderCPU }
	mb := func(p Point) float64 { return p.LeaderMB }
	fmt.Fprintln(c.Out)
	printFit("leader core % by hosts (13 servers)", 0, 4, hosts, core)
	printFit("leader MB by hosts", 0, 4, hosts, mb)
	printFit("bytes/s a host by hosts", 0, 4, hosts, func(p Point) float64 { return p.BytesPerHost })
	printFit("in force ms by hosts", 0, 4, hosts, func(p Point) float64 { return p.PropagationMs })
	printFit("leader core % by servers (8 hosts)", 4, 7, servers, core)
	printFit("leader MB by servers (8 hosts)", 4, 7, servers, mb)
	printFit("bytes/s a host by servers (8 hosts)", 4, 7, servers, func(p Point) float64 { return p.BytesPerHost })
	printFit("leader core % by servers (64 hosts)", 7, 9, servers, core)
	printFit("leader MB by records (8 hosts)", 9, 11, records, mb)
	printFit("follower MB by records (8 hosts)", 9, 11, records, func(p Point) float64 { return p.FollowerMB })
}
