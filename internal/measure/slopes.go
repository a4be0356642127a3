package measure

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/plantainbank/plantainbank/internal/deployment"
	"github.com/plantainbank/plantainbank/pkg/process/leader"
	"github.com/plantainbank/plantainbank/pkg/process/settings"
	pb "github.com/plantainbank/plantainbank/service/control"
)

// sampleBytes is the size of the text of each committed sample.
const sampleBytes = 4096

// Samples measures the usage of the control hosts at several rates of committed samples and
// prints it, with linear fits, as Markdown.
func (c *Capacity) Samples() error {
	fmt.Fprintln(c.Out, "\n| samples/s | leader core % | follower core % | leader MB | follower MB |")
	fmt.Fprintln(c.Out, "| --- | --- | --- | --- | --- |")
	var xs, leaders, followers []float64
	for _, rate := range []int{0, 50, 200, 400} {
		lead, follow, err := c.measureSamplesAt(rate)
		if err != nil {
			return err
		}
		fmt.Fprintf(c.Out, "| %d | %.2f | %.2f | %.1f | %.1f |\n", rate, 100*lead.CPU, 100*follow.CPU,
			float64(lead.ResidentBytes)/1e6, float64(follow.ResidentBytes)/1e6)
		xs = append(xs, float64(rate))
		leaders, followers = append(leaders, 100*lead.CPU), append(followers, 100*follow.CPU)
	}
	l, f := fitLine(xs, leaders), fitLine(xs, followers)
	fmt.Fprintf(c.Out, "\n- leader core %% by samples/s: %.4g + %.4g x\n- follower core %% by samples/s: %.4g + %.4g x\n", l.Base, l.Slope, f.Base, f.Slope)
	return nil
}

// measureSamplesAt measures the leader and a follower in a new deployment while samples are
// committed at a rate per second.
func (c *Capacity) measureSamplesAt(rate int) (lead, follow Usage, err error) {
	d, err := c.startGroup()
	if err != nil {
		return lead, follow, err
	}
	defer d.StopAll()
	if err := openLargeStep(d); err != nil {
		return lead, follow, err
	}
	client := leader.New([]string{d.ControlAddr(0), d.ControlAddr(1), d.ControlAddr(2)}, http.DefaultClient, "http://")
	ctx, cancel := context.WithTimeout(context.Background(), c.Period+settleTime)
	defer cancel()
	var wg sync.WaitGroup
	if rate > 0 {
		wg.Go(func() { commitAtRate(ctx, client, rate) })
	}
	i, err := leaderOf(d)
	if err != nil {
		return lead, follow, err
	}
	wg.Go(func() { follow, _ = measureUsage(d.Process("control-"+strconv.Itoa((i+1)%3)).PID(), c.Period) })
	lead, err = measureUsage(d.Process("control-"+strconv.Itoa(i)).PID(), c.Period)
	cancel()
	wg.Wait()
	return lead, follow, err
}

// openLargeStep opens a step with enough slots for all commits of a measurement.
func openLargeStep(d *deployment.Deployment) error {
	records, err := filepath.Abs(filepath.Join(d.Fixture, "records.json"))
	if err != nil {
		return err
	}
	if _, err := d.CLI("record", "put", records); err != nil {
		return err
	}
	client := leader.New([]string{d.ControlAddr(0), d.ControlAddr(1), d.ControlAddr(2)}, http.DefaultClient, "http://")
	ctx, cancel := context.WithTimeout(context.Background(), settleTime)
	defer cancel()
	prompts := make([]string, 64)
	return client.Call(ctx, time.Second, func(ctx context.Context, s pb.Control) error {
		_, err := s.Open(ctx, &pb.OpenRequest{Rollout: "slip-reader", Workspace: "training", Number: 1, Prompts: prompts, Samples: 128})
		return err
	})
}

// commitAtRate commits samples at a rate per second until ctx ends. It does not wait for
// answers.
func commitAtRate(ctx context.Context, client *leader.Client, rate int) {
	tick := time.NewTicker(time.Second / time.Duration(rate))
	defer tick.Stop()
	text := strings.Repeat("x", sampleBytes)
	for slot := uint32(0); ; slot++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		go client.CallOnce(ctx, func(ctx context.Context, s pb.Control) error {
			_, err := s.Commit(ctx, &pb.CommitRequest{Host: "h", Samples: []*pb.Sample{{Rollout: "slip-reader", Number: 1, Slot: slot,
				Text: text, Spans: []*pb.Span{{Version: 1, To: 64}}}}})
			return err
		})
	}
}

// Tokens measures the usage of an entry host at several rates of streamed tokens and prints
// it, with a linear fit, as Markdown.
func (o *Overhead) Tokens() error {
	dir := filepath.Join(o.Dir, "tokens")
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	d, err := deployment.New(dir, o.Bin, o.Standin, o.Fixture, "127.76.2")
	if err != nil {
		return err
	}
	d.EntryHosts = 1
	d.Pools = []deployment.Pool{{Name: "slips", Kind: "engine", Count: 4, Capacity: 64, ServiceTime: settings.Duration(2 * time.Millisecond)}}
	defer d.StopAll()
	if err := d.StartAll(); err != nil {
		return err
	}
	if err := d.AwaitReady(); err != nil {
		return err
	}
	workspaces, err := setUpWorkspaces(d, Scenario{})
	if err != nil {
		return err
	}
	fmt.Fprintln(o.Out, "\n| streams | tokens/s | entry core % | entry MB |")
	fmt.Fprintln(o.Out, "| --- | --- | --- | --- |")
	var xs, ys []float64
	for _, streams := range []int{8, 32, 96} {
		rate, u, err := streamTokens(d, workspaces[0].Key, streams)
		if err != nil {
			return err
		}
		fmt.Fprintf(o.Out, "| %d | %.0f | %.1f | %.1f |\n", streams, rate, 100*u.CPU, float64(u.ResidentBytes)/1e6)
		xs, ys = append(xs, rate), append(ys, 100*u.CPU)
	}
	f := fitLine(xs, ys)
	fmt.Fprintf(o.Out, "\n- entry core %% by streamed tokens/s: %.4g + %.4g x\n", f.Base, f.Slope)
	return nil
}

// streamTokens keeps the given number of streams open. It returns the tokens per second and
// the usage of the entry host.
func streamTokens(d *deployment.Deployment, key string, streams int) (float64, Usage, error) {
	ctx, cancel := context.WithCancel(context.Background())
	var tokens atomic.Int64
	var wg sync.WaitGroup
	for range streams {
		wg.Go(func() {
			for ctx.Err() == nil {
				streamOnce(ctx, d.CallerAddr(0), key, &tokens)
			}
		})
	}
	time.Sleep(settleTime) // until all streams are open
	before := tokens.Load()
	u, err := measureUsage(d.Process("entry-0").PID(), throughputPeriod)
	rate := float64(tokens.Load()-before) / throughputPeriod.Seconds()
	cancel()
	wg.Wait()
	return rate, u, err
}

// streamOnce opens one stream, counts its tokens and returns when the stream ends.
func streamOnce(ctx context.Context, addr, key string, tokens *atomic.Int64) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/completions",
		strings.NewReader(`{"model":"slips","prompt":"p","max_tokens":200,"stream":true}`))
	if err != nil {
		return
	}
	req.Header.Set("Authorization", "Bearer "+key)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return
	}
	defer res.Body.Close()
	for sc := bufio.NewScanner(res.Body); sc.Scan(); {
		if strings.HasPrefix(sc.Text(), "data: {") {
			tokens.Add(1)
		}
	}
}
