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

// Spending measures ordered backend servers against the demand. The platform
// runs here, so that it can start and stop engines as it is ordered.
type Spending struct {
	Bin, Standin, Fixture, Dir string
	Out                        io.Writer
}

// Shape of the measurement.
const (
	phase        = 20 * time.Second
	startDelay   = time.Second
	reclaimGrace = 2 * time.Second
	zoneMost     = 8
)

// phases are the offered loads, in parts of the capacity of ten engines.
var phases = []float64{0.1, 0.6, 0.1}

// Run compares orders that follow the demand with a fixed fleet for the peak,
// and with a fleet whose cheap servers are reclaimed in one zone.
func (s *Spending) Run() error {
	fmt.Fprintln(s.Out, "\n| fleet | server-seconds | of the lower bound | cheap % | good % | p99 ms | refused | failed |")
	fmt.Fprintln(s.Out, "| --- | --- | --- | --- | --- | --- | --- | --- |")
	for i, c := range []struct {
		name    string
		least   int
		reclaim bool
	}{{"ordered by demand", 1, false}, {"ordered by demand, one zone's cheap servers reclaimed", 1, true}, {"fixed for the peak", 3, false}} {
		if err := s.once(i, c.name, c.least, c.reclaim); err != nil {
			return fmt.Errorf("%s: %w", c.name, err)
		}
	}
	return nil
}

func (s *Spending) once(number int, name string, least int, reclaim bool) error {
	dir := filepath.Join(s.Dir, fmt.Sprint("spending-", number))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	d, err := deployment.New(dir, s.Bin, s.Standin, s.Fixture, fmt.Sprintf("127.74.%d", number+1))
	if err != nil {
		return err
	}
	d.Pools, d.ExternalPlatform = d.Pools[2:], true
	f := &launcher{d: d, live: map[string]*standin.Engine{}}
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
	if err := putZones(d, least); err != nil {
		return err
	}
	tenants, err := setUpTenants(d, Scenario{})
	if err != nil {
		return err
	}
	if err := deployment.Await("the first engines", func() bool { return f.count() >= 3*least }); err != nil {
		return err
	}
	time.Sleep(settle)
	return s.offer(d, p, f, tenants, name, reclaim)
}

// offer runs the phases and prints the row.
func (s *Spending) offer(d *deployment.Deployment, p *standin.Platform, f *launcher, tenants []Workspace, name string, reclaim bool) error {
	l := newLoad(d.CallerAddrs(), tenants, "slips", tokens, deadline+answerAllow)
	before := p.Log().Seconds
	l.since = time.Now()
	lower := 0.0
	for i, part := range phases {
		if reclaim && i == 1 {
			time.AfterFunc(phase/2, func() { f.reclaim("multan") })
		}
		ctx, cancel := context.WithTimeout(context.Background(), phase)
		var wg sync.WaitGroup
		for n, t := range tenants {
			t.Rate = part * capacity / float64(len(tenants))
			wg.Go(func() { l.offer(ctx, t, rand.New(rand.NewPCG(uint64(i), uint64(n)))) })
		}
		wg.Wait()
		cancel()
		lower += part * engineNumber * phase.Seconds()
	}
	after := p.Log().Seconds
	l.wg.Wait()
	steady, cheap := after["steady"]-before["steady"], after["cheap"]-before["cheap"]
	all := l.total()
	fmt.Fprintf(s.Out, "| %s | %.0f | %.2f | %.0f | %.1f | %.0f | %d | %d |\n", name, steady+cheap, (steady+cheap)/lower,
		100*cheap/(steady+cheap), 100*float64(all.Good)/float64(all.Offered),
		float64(all.Latency.ValueAtQuantile(99))/1000, all.Refused, all.Failed)
	return nil
}

func putZones(d *deployment.Deployment, least int) error {
	for _, z := range d.Zones {
		body := fmt.Sprintf(`{"request":"z-%s","kind":"zone","name":%q,"schema":2,"spec":{"state":"in","price":1,"cheap":0.5,"least":{"slips":%d},"most":{"slips":%d}}}`,
			z, z, least, zoneMost)
		if _, err := operate(d, http.MethodPost, "/operator/records", body); err != nil {
			return err
		}
	}
	return nil
}

// launcher starts and stops engines for the platform.
type launcher struct {
	d    *deployment.Deployment
	mu   sync.Mutex
	live map[string]*standin.Engine
}

func (f *launcher) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.live)
}

// launch starts an engine; stop lets it drain first.
func (f *launcher) launch(zone, pool, class string, n int) (stop func()) {
	id := fmt.Sprintf("%s-%s-%d", pool, class, n)
	e, err := standin.StartEngine(standin.EngineConfig{Base: standin.Base{ID: id, Addr: f.d.Address(100+n%150, 0), Zone: zone,
		Pool: pool, Class: class, Entries: f.d.AnnounceAddrs(), Token: deployment.AnnounceToken, Bears: engineBears, Delay: startDelay},
		Token: tokenTime, Cold: 8})
	if err != nil {
		return func() {}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.live[id] = e
	return func() { f.end(id) }
}

// end gives the notice of a reclaim, waits for its grace and stops the engine.
func (f *launcher) end(id string) {
	f.mu.Lock()
	e := f.live[id]
	delete(f.live, id)
	f.mu.Unlock()
	if e == nil {
		return
	}
	e.Leave()
	time.Sleep(reclaimGrace)
	e.Close()
}

// reclaim takes the cheap engines of a zone away at short notice.
func (f *launcher) reclaim(zone string) {
	f.mu.Lock()
	var ids []string
	for id, e := range f.live {
		if e.Zone == zone && e.Class == "cheap" {
			ids = append(ids, id)
		}
	}
	f.mu.Unlock()
	for _, id := range ids {
		go f.end(id)
	}
}
