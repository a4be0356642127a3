package measure

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// maxLatencyMicros is the longest latency that a histogram records, in microseconds.
const maxLatencyMicros = 60_000_000

// Workspace is a workspace that offers load.
type Workspace struct {
	Name   string
	Weight float64
	Key    string
	// Rate is the offered load in requests per second.
	Rate float64
}

// Tally counts the requests of a workspace by outcome.
type Tally struct {
	Offered, Good, Late, Refused, Failed int
	// Latency holds the latencies of the good and the late answers, in microseconds.
	Latency *hdrhistogram.Histogram
}

// load generates completion requests of all workspaces in an open loop: each workspace
// sends at a fixed rate with exponentially distributed gaps.
type load struct {
	addrs      []string
	workspaces []Workspace
	model      string
	tokens     int
	deadline   time.Duration
	client     *http.Client
	wg         sync.WaitGroup
	mu         sync.Mutex
	tallies    map[string]*Tally
	// measureFrom is the time from which requests are counted. Earlier requests warm the
	// system up.
	measureFrom time.Time
	// goodBySecond counts the good answers by the second after measureFrom in which the
	// request was sent.
	goodBySecond map[int]int
}

func newLoad(addrs []string, workspaces []Workspace, model string, tokens int, deadline time.Duration) *load {
	l := &load{addrs: addrs, workspaces: workspaces, model: model, tokens: tokens, deadline: deadline, goodBySecond: map[int]int{},
		client:  &http.Client{Timeout: 30 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 512}},
		tallies: map[string]*Tally{}}
	for _, w := range workspaces {
		l.tallies[w.Name] = &Tally{Latency: hdrhistogram.New(1, maxLatencyMicros, 3)}
	}
	return l
}

// run offers load until ctx ends and waits for the outstanding answers.
func (l *load) run(ctx context.Context, seed uint64, since time.Time) {
	l.measureFrom = since
	for i, w := range l.workspaces {
		l.wg.Go(func() { l.offerLoad(ctx, w, rand.New(rand.NewPCG(seed, uint64(i)))) })
	}
	l.wg.Wait()
}

// offerLoad sends the requests of one workspace until ctx ends. It does not wait for
// answers, so that a slow system gets no less load.
func (l *load) offerLoad(ctx context.Context, w Workspace, rng *rand.Rand) {
	next := time.Now()
	for n := 0; ; n++ {
		next = next.Add(time.Duration(rng.ExpFloat64() / w.Rate * float64(time.Second)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(next)):
		}
		addr := l.addrs[rng.IntN(len(l.addrs))]
		l.wg.Go(func() { l.sendOne(w, addr, n) })
	}
}

// sendOne sends one request and records its outcome.
func (l *load) sendOne(w Workspace, addr string, n int) {
	start := time.Now()
	body := fmt.Sprintf(`{"model":%q,"prompt":"%s slip %d","max_tokens":%d}`, l.model, w.Name, n%20, l.tokens)
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set("Authorization", "Bearer "+w.Key)
	status := 0
	if res, err := l.client.Do(req); err == nil {
		if _, err := io.Copy(io.Discard, res.Body); err == nil {
			status = res.StatusCode
		}
		res.Body.Close()
	}
	l.record(w, start, time.Since(start), status)
}

// record counts an answer by its status and latency. A status of 0 means that no complete
// answer came.
func (l *load) record(w Workspace, start time.Time, took time.Duration, status int) {
	if start.Before(l.measureFrom) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	x := l.tallies[w.Name]
	x.Offered++
	switch {
	case status == http.StatusOK && took <= l.deadline:
		x.Good++
		l.goodBySecond[int(start.Sub(l.measureFrom).Seconds())]++
		x.Latency.RecordValue(took.Microseconds())
	case status == http.StatusOK:
		x.Late++
		x.Latency.RecordValue(took.Microseconds())
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		x.Refused++
	default:
		x.Failed++
	}
}

// total returns the sum over all workspaces.
func (l *load) total() *Tally {
	out := &Tally{Latency: hdrhistogram.New(1, maxLatencyMicros, 3)}
	for _, x := range l.tallies {
		out.Offered += x.Offered
		out.Good += x.Good
		out.Late += x.Late
		out.Refused += x.Refused
		out.Failed += x.Failed
		out.Latency.Merge(x.Latency)
	}
	return out
}
