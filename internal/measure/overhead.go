package measure

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/plantainbank/plantainbank/internal/deployment"
	"github.com/plantainbank/plantainbank/pkg/process/settings"
)

// Overhead measures what an idle system costs and what an entry host adds to a
// plain call.
type Overhead struct {
	Bin, Standin, Fixture, Dir string
	Out                        io.Writer
}

// Sizes of the overhead measurement.
const (
	idlePeriod    = 10 * time.Second
	pairedCalls   = 3000
	throughputFor = 5 * time.Second
	throughputBy  = 64
)

// Run starts a deployment, measures it and prints Markdown.
func (o *Overhead) Run() error {
	dir := filepath.Join(o.Dir, "overhead")
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	d, err := deployment.New(dir, o.Bin, o.Standin, o.Fixture, "127.76.1")
	if err != nil {
		return err
	}
	d.Pools[1].Work, d.Pools[1].Bears = 0, 64
	d.EditEntry = func(c *settings.Entry) { c.Limits.MaxWaiting = 4096 }
	defer d.StopAll()
	if err := d.StartAll(); err != nil {
		return err
	}
	if err := d.AwaitReady(); err != nil {
		return err
	}
	body := `{"request":"open","kind":"route","name":"open","schema":1,"spec":{"prefix":"/open/","pool":"counter","open":true,"idempotent":["GET"]}}`
	if _, err := operate(d, http.MethodPost, "/operator/records", body); err != nil {
		return err
	}
	time.Sleep(settle)
	if err := o.idle(d); err != nil {
		return err
	}
	if err := o.throughput(d); err != nil { // warms the servers up, too
		return err
	}
	return o.latency(d)
}

func (o *Overhead) idle(d *deployment.Deployment) error {
	fmt.Fprintln(o.Out, "| idle process | core % | MB |")
	fmt.Fprintln(o.Out, "| --- | --- | --- |")
	var mu sync.Mutex
	var wg sync.WaitGroup
	var failed error
	lines := map[string]string{}
	names := []string{"control-0", "control-1", "control-2", "entry-0", "entry-1", "entry-2"}
	for _, name := range names {
		wg.Go(func() {
			u, err := useOf(d.Process(name).PID(), idlePeriod)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed = err
			}
			lines[name] = fmt.Sprintf("| %s | %.2f | %.1f |", name, 100*u.Core, float64(u.Bytes)/1e6)
		})
	}
	wg.Wait()
	for _, name := range names {
		fmt.Fprintln(o.Out, lines[name])
	}
	return failed
}

// throughput keeps connections busy and relates the requests to the entry
// host's processor time.
func (o *Overhead) throughput(d *deployment.Deployment) error {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: throughputBy}}
	var done, failed atomic.Int64
	var wg sync.WaitGroup
	end := time.Now().Add(throughputFor)
	for range throughputBy {
		wg.Go(func() {
			for time.Now().Before(end) {
				if _, ok := get(client, d.CallerAddr(0)+"/open/x"); ok {
					done.Add(1)
				} else {
					failed.Add(1)
				}
			}
		})
	}
	u, err := useOf(d.Process("entry-0").PID(), throughputFor)
	wg.Wait()
	rate := float64(done.Load()) / throughputFor.Seconds()
	fmt.Fprintf(o.Out, "\n%d connections: %.0f plain calls/s through one entry host, %.2f cores, %.0f calls/s a core, %d failed\n",
		throughputBy, rate, u.Core, rate/u.Core, failed.Load())
	return err
}

// latency compares calls through an entry host with direct ones, in turn.
func (o *Overhead) latency(d *deployment.Deployment) error {
	client := &http.Client{}
	direct, through := hdrhistogram.New(1, latencyMost, 3), hdrhistogram.New(1, latencyMost, 3)
	service := d.ServerAddr(d.Pools[0].Count)
	for range pairedCalls {
		if took, ok := get(client, service+"/open/x"); ok {
			direct.RecordValue(took.Microseconds())
		}
		if took, ok := get(client, d.CallerAddr(0)+"/open/x"); ok {
			through.RecordValue(took.Microseconds())
		}
	}
	fmt.Fprintln(o.Out, "\n| plain call | p50 µs | p99 µs | answered |")
	fmt.Fprintln(o.Out, "| --- | --- | --- | --- |")
	for _, x := range []struct {
		name string
		h    *hdrhistogram.Histogram
	}{{"direct", direct}, {"through an entry host", through}} {
		fmt.Fprintf(o.Out, "| %s | %d | %d | %d |\n", x.name, x.h.ValueAtQuantile(50), x.h.ValueAtQuantile(99), x.h.TotalCount())
	}
	fmt.Fprintf(o.Out, "| ratio | %.2f | %.2f | |\n", float64(through.ValueAtQuantile(50))/float64(direct.ValueAtQuantile(50)),
		float64(through.ValueAtQuantile(99))/float64(direct.ValueAtQuantile(99)))
	return nil
}

func get(client *http.Client, url string) (time.Duration, bool) {
	start := time.Now()
	res, err := client.Get("http://" + strings.TrimPrefix(url, "http://"))
	if err != nil {
		return 0, false
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, res.Body)
	return time.Since(start), err == nil && res.StatusCode == http.StatusOK
}
