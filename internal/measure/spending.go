package measure

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/plantainbank/plantainbank/internal/deployment"
	"github.com/plantainbank/plantainbank/internal/standin"
)

// Spending compares the backend servers that are ordered, in server-seconds, with the
// demand. The platform runs in this process, so that it can start and stop engines as the
// orders say.
type Spending struct {
	Bin, Standin, Fixture, Dir string
	Out                        io.Writer
}

// Times and sizes of the measurement.
const (
	phaseDuration  = 20 * time.Second
	startDelay     = time.Second
	reclaimGrace   = 2 * time.Second
	maxZoneServers = 8
)

// phaseLoads are the offered loads of the phases, as fractions of nominalCapacity.
var phaseLoads = []float64{0.1, 0.6, 0.1}

// Run measures three fleets and prints the results as Markdown: one that is ordered by
// demand, the same with the cheap servers of one zone reclaimed meanwhile, and one with at
// least the servers for the peak at all times.
func (s *Spending) Run() error {
	fmt.Fprintln(s.Out, "\n| fleet | server-seconds | of the lower bound | cheap % | good % | p99 ms | refused | failed |")
	fmt.Fprintln(s.Out, "| --- | --- | --- | --- | --- | --- | --- | --- |")
	for i, c := range []struct {
		name       string
		minServers int
		reclaim    bool
	}{{"ordered by demand", 1, false}, {"ordered by demand, one zone's cheap servers reclaimed", 1, true}, {"fixed for the peak", 3, false}} {
		if err := s.runOnce(i, c.name, c.minServers, c.reclaim); err != nil {
			return fmt.Errorf("%s: %w", c.name, err)
		}
	}
	return nil
}

// runOnce measures one fleet in a new deployment. minServers is the minimum number of
// engines in each zone.
func (s *Spending) runOnce(number int, name string, minServers int, reclaim bool) error {
	dir := filepath.Join(s.Dir, fmt.Sprint("spending-", number))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	d, err := deployment.New(dir, s.Bin, s.Standin, s.Fixture, fmt.Sprintf("127.74.%d", number+1))
	if err != nil {
		return err
	}
	d.Pools, d.ExternalPlatform = d.Pools[2:], true
	f := &launcher{d: d, engines: map[string]*standin.Engine{}}
	p, err := standin.StartPlatform(standin.PlatformConfig{Addr: d.PlatformAddr(), Launch: f.launch})
	if err != nil {
		return err
	}
	defer p.Close()
	defer d.StopAll()
	if err := d.StartAll(); err != nil {
		return err
	}
	if err := d.AwaitReady(); err != nil {
		return err
	}
	if err := putZones(d, minServers); err != nil {
		return err
	}
	workspaces, err := setUpWorkspaces(d, Scenario{})
	if err != nil {
		return err
	}
	if err := deployment.Await("the minimum number of engines is running", func() bool { return f.count() >= 3*minServers }); err != nil {
		return err
	}
	time.Sleep(settleTime)
	return s.offerPhases(d, p, f, workspaces, name, reclaim)
}

// offerPhases offers the load of all phases and prints the row of the fleet.
func (s *Spending) offerPhases(d *deployment.Deployment, p *standin.Platform, f *launcher, workspaces []Workspace, name string, reclaim bool) error {
	l := newLoad(d.CallerAddrs(), workspaces, "slips", tokensPerRequest, requestDeadline+deadlineSlack)
	before := p.Log().Seconds
	l.measureFrom = time.Now()
	lowerBound := 0.0 // server-seconds of a fleet that follows the load exactly
	for i, loadFraction := range phaseLoads {
		if reclaim && i == 1 {
			time.AfterFunc(phaseDuration/2, func() { f.reclaim("multan") })
		}
		ctx, cancel := context.WithTimeout(context.Background(), phaseDuration)
		var wg sync.WaitGroup
		for n, w := range workspaces {
			w.Rate = loadFraction * nominalCapacity / float64(len(workspaces))
			wg.Go(func() { l.offerLoad(ctx, w, rand.New(rand.NewPCG(uint64(i), uint64(n)))) })
		}
		wg.Wait()
		cancel()
		lowerBound += loadFraction * engineCount * phaseDuration.Seconds()
	}
	after := p.Log().Seconds
	l.wg.Wait()
	steady, cheap := after["steady"]-before["steady"], after["cheap"]-before["cheap"]
	all := l.total()
	fmt.Fprintf(s.Out, "| %s | %.0f | %.2f | %.0f | %.1f | %.0f | %d | %d |\n", name, steady+cheap, (steady+cheap)/lowerBound,
		100*cheap/(steady+cheap), 100*float64(all.Good)/float64(all.Offered),
		float64(all.Latency.ValueAtQuantile(99))/1000, all.Refused, all.Failed)
	return nil
}

// putZones submits the zones with their minimum and maximum numbers of engines. Half of the
// servers may be of class "cheap".
func putZones(d *deployment.Deployment, minServers int) error {
	for _, z := range d.Zones {
		body := fmt.Sprintf(`{"request":"z-%s","kind":"zone","name":%q,"schema":2,"spec":{"state":"in","price":1,"cheap":0.5,"least":{"slips":%d},"most":{"slips":%d}}}`,
			z, z, minServers, maxZoneServers)
		if _, err := callOperator(d, http.MethodPost, "/operator/records", body); err != nil {
			return err
		}
	}
	return nil
}

// launcher starts and stops the engines that the platform is ordered to run.
type launcher struct {
	d       *deployment.Deployment
	mu      sync.Mutex
	engines map[string]*standin.Engine
}

func (f *launcher) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.engines)
}

// launch starts an engine. The returned function drains and stops it.
func (f *launcher) launch(zone, pool, class string, n int) (stop func()) {
	id := fmt.Sprintf("%s-%s-%d", pool, class, n)
	e, err := standin.StartEngine(standin.EngineConfig{Base: standin.Base{ID: id, Addr: f.d.Address(100+n%150, 0), Zone: zone,
		Pool: pool, Class: class, Entries: f.d.AnnounceAddrs(), Token: deployment.AnnounceToken, Capacity: engineCapacity, AnnounceDelay: startDelay},
		TokenTime: tokenTime, WarmupRequests: 8})
	if err != nil {
		return func() {}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.engines[id] = e
	return func() { f.stopEngine(id) }
}

// stopEngine lets the engine announce that it is leaving, waits for the grace period of a
// reclaim and stops it.
func (f *launcher) stopEngine(id string) {
	f.mu.Lock()
	e := f.engines[id]
	delete(f.engines, id)
	f.mu.Unlock()
	if e == nil {
		return
	}
	e.Leave()
	time.Sleep(reclaimGrace)
	e.Close()
}

// reclaim stops all cheap engines of a zone, as a platform that reclaims them does.
func (f *launcher) reclaim(zone string) {
	f.mu.Lock()
	var ids []string
	for id, e := range f.engines {
		if e.Zone == zone && e.Class == "cheap" {
			ids = append(ids, id)
		}
	}
	f.mu.Unlock()
	for _, id := range ids {
		go f.stopEngine(id)
	}
}
