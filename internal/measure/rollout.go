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
)

// Rollout measures steps with and without hedged stragglers, and how fast new
// weights reach the engines.
type Rollout struct {
	Bin, Standin, Fixture, Dir string
	Out                        io.Writer
}

// Shape of the steps.
const (
	stepGroups  = 8
	stepSamples = 16
	stepNumber  = 6
	// slowFactor is how much slower one engine of ten is.
	slowFactor = 20
)

// Run prints Markdown.
func (r *Rollout) Run() error {
	fmt.Fprintln(r.Out, "| hedging | step s, median (least–most) | generations a sample |")
	fmt.Fprintln(r.Out, "| --- | --- | --- |")
	for i, hedge := range []float64{0.1, 0} {
		if err := r.steps(i, hedge); err != nil {
			return err
		}
	}
	return nil
}

func (r *Rollout) steps(number int, hedge float64) error {
	dir := filepath.Join(r.Dir, fmt.Sprint("rollout-", number))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	d, err := deployment.New(dir, r.Bin, r.Standin, r.Fixture, fmt.Sprintf("127.75.%d", number+1))
	if err != nil {
		return err
	}
	d.EditControl = func(c *settings.Control) { c.HedgeFraction = hedge }
	defer d.StopAll()
	if err := d.StartAll(); err != nil {
		return err
	}
	t, err := r.trainer(d)
	if err != nil {
		return err
	}
	times, err := r.timeSteps(d, t)
	if err != nil {
		return err
	}
	slices.Sort(times)
	samples := float64(stepGroups * stepSamples * stepNumber)
	fmt.Fprintf(r.Out, "| %g | %.2f (%.2f–%.2f) | %.2f |\n", hedge, times[len(times)/2].Seconds(), times[0].Seconds(),
		times[len(times)-1].Seconds(), float64(engineStats(d).Started)/samples)
	if number == 0 {
		return r.weights(d, t)
	}
	return nil
}

// trainer sets the records up and warms the engines with one step.
func (r *Rollout) trainer(d *deployment.Deployment) (*standin.Trainer, error) {
	if err := d.AwaitReady(); err != nil {
		return nil, err
	}
	records, err := filepath.Abs(filepath.Join(r.Fixture, "records.json"))
	if err != nil {
		return nil, err
	}
	if _, err := d.CLI("record", "put", records); err != nil {
		return nil, err
	}
	if _, err := d.CLI("key", "new", "training", "training"); err != nil {
		return nil, err
	}
	key, err := os.ReadFile(filepath.Join(d.Dir, "training.key"))
	if err != nil {
		return nil, err
	}
	t := &standin.Trainer{Entries: d.CallerAddrs(), Key: string(key), Rollout: "slip-reader", Groups: stepGroups, Samples: stepSamples, Tokens: 40}
	for number := range uint64(3) {
		if _, err := r.step(t, number+1); err != nil {
			return nil, err
		}
	}
	return t, nil
}

func (r *Rollout) step(t *standin.Trainer, number uint64) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	start := time.Now()
	if err := t.Open(ctx, number); err != nil {
		return 0, err
	}
	samples, err := t.Collect(ctx, number, 1)
	if err == nil && len(samples) != stepGroups*stepSamples {
		err = fmt.Errorf("step %d gave %d samples", number, len(samples))
	}
	return time.Since(start), err
}

func (r *Rollout) timeSteps(d *deployment.Deployment, t *standin.Trainer) ([]time.Duration, error) {
	res, err := http.Post("http://"+d.ServerAddr(5)+"/fault", "application/json", strings.NewReader(fmt.Sprintf(`{"slow":%d}`, slowFactor)))
	if err != nil {
		return nil, err
	}
	res.Body.Close()
	resetStats(d)
	var times []time.Duration
	for i := range stepNumber {
		took, err := r.step(t, uint64(10+i))
		if err != nil {
			return nil, err
		}
		times = append(times, took)
	}
	return times, nil
}

// weights measures from a new version until every engine has it.
func (r *Rollout) weights(d *deployment.Deployment, t *standin.Trainer) error {
	var times []float64
	for version := uint64(1); version <= 5; version++ {
		start := time.Now()
		if err := t.Publish(context.Background(), version); err != nil {
			return err
		}
		err := deployment.Await("the version on every engine", func() bool { return allAtVersion(d, version) })
		if err != nil {
			return err
		}
		times = append(times, time.Since(start).Seconds())
	}
	slices.Sort(times)
	fmt.Fprintf(r.Out, "\nnew weights on all %d engines in waves of a third: %.2f s (%.2f–%.2f), 5 versions\n", engineNumber, times[2], times[0], times[4])
	return nil
}

func allAtVersion(d *deployment.Deployment, version uint64) bool {
	for i := range engineNumber {
		res, err := http.Get("http://" + d.ServerAddr(i) + "/stats")
		if err != nil {
			return false
		}
		var s standin.Stats
		err = json.NewDecoder(res.Body).Decode(&s)
		res.Body.Close()
		if err != nil || s.Versions["slip-reader"] < version {
			return false
		}
	}
	return true
}
