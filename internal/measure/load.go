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

// Longest latency that is recorded, in microseconds.
const maxLatencyMicros = 60_000_000

// Tenant is a workspace that offers load.
type Workspace struct {
	Name   string
	Weight float64
	Key    string
	// Rate is the number of requests offered in a second.
	Rate float64
}

// Tally is what a workspace got.
type Tally struct {
	Offered, Good, Late, Refused, Failed int
	// Latency of the good and late ones, in microseconds.
	Latency *hdrhistogram.Histogram
}

// load offers completions of all tenants at fixed rates with random gaps.
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
	// since starts the counting; earlier requests warm the system up.
	measureFrom time.Time
	// seconds counts the good answers of each second after since.
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

// run offers load until ctx ends and waits for the last answers.
func (l *load) run(ctx context.Context, seed uint64, since time.Time) {
	l.measureFrom = since
	for i, w := range l.workspaces {
		l.wg.Go(func() { l.offerLoad(ctx, w, rand.New(rand.NewPCG(seed, uint64(i)))) })
	}
	l.wg.Wait()
}

// offer sends requests with exponential gaps, whether or not answers come.
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

// total adds up all workspaces.
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
