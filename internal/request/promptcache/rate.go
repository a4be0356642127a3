package promptcache

import (
	"sync"
	"time"
)

const (
	// initialRate is the assumed number of prompt tokens that an engine reads in a ms; the engines of
	// current sites read 340 to 409. minRate and maxRate bound what is learned.
	initialRate, minRate, maxRate = 375, 50, 5000
	// rateMemory is the number of samples after which older ones count for little.
	rateMemory = 4096
	// rateInertia is the weight of initialRate, in squared tokens. Reading 1,000 tokens takes 3 ms and the
	// time to the first event varies by 20 ms, so that hundreds of samples are needed to learn the rate.
	rateInertia = 400 * 500 * 500
	// maxSample bounds a sample: a longer wait for the first event is not the reading of the prompt.
	maxSample = 250 * time.Millisecond
)

// Rate learns the rate at which engines read prompts: the slope of the time to the first event over the
// tokens that had to be read, by ridge regression towards initialRate. It is safe for concurrent use.
type Rate struct {
	mu sync.Mutex
	// n, x, y, xx and xy are the weight of the samples and the sums of tokens, ms and their products.
	n, x, y, xx, xy float64
}

// Add adds a request that had to read a number of tokens. wait is the time to its first event less the
// time between its events.
func (r *Rate) Add(tokens int, wait time.Duration) {
	if wait <= 0 || wait > maxSample {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	const keep = 1 - 1.0/rateMemory
	x, y := float64(tokens), wait.Seconds()*1000
	r.n, r.x, r.y, r.xx, r.xy = keep*r.n+1, keep*r.x+x, keep*r.y+y, keep*r.xx+x*x, keep*r.xy+x*y
}

// PerMS returns the number of tokens that an engine reads in a ms.
func (r *Rate) PerMS() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	variance, covariance := 0.0, 0.0
	if r.n > 0 {
		variance, covariance = r.xx-r.x*r.x/r.n, r.xy-r.x*r.y/r.n
	}
	slope := (covariance + rateInertia/initialRate) / (variance + rateInertia)
	return 1 / min(1.0/minRate, max(1.0/maxRate, slope))
}

// Time returns how long an engine takes to read a number of tokens.
func (r *Rate) Time(tokens int) time.Duration {
	return time.Duration(float64(tokens) / r.PerMS() * float64(time.Millisecond))
}
