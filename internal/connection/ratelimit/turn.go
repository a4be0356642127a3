package ratelimit

import (
	"math"
	"time"
)

// turnLength is how long a host may send its request after its turn has begun.
const turnLength = time.Second

// turn divides time among the hosts while control does not answer: each host sends one request in
// each period of hosts/rate seconds, and the turns of two hosts begin 1/rate seconds apart. The
// clocks of hosts differ; that shifts turns and adds none.
type turn struct {
	// rank is the position of this host, from 0 to hosts-1.
	rank, hosts int
}

// position returns the time in periods since the beginning of turn 0, and the length of a period
// in seconds.
func (t turn) position(rate float64, now time.Time) (x, period float64) {
	hosts := float64(max(1, t.hosts))
	period = hosts / max(minRate, rate)
	return float64(now.UnixMicro())/1e6/period - float64(t.rank)/hosts, period
}

// at returns the number of this host's latest turn, and whether it still lasts.
func (t turn) at(rate float64, now time.Time) (n int64, mine bool) {
	x, period := t.position(rate, now)
	begin := math.Floor(x)
	return int64(begin), (x-begin)*period < turnLength.Seconds()
}

// next returns the time until this host's next turn after last.
func (t turn) next(rate float64, last int64, now time.Time) time.Duration {
	if n, mine := t.at(rate, now); mine && n != last {
		return 0
	}
	x, period := t.position(rate, now)
	return time.Duration((math.Floor(x) + 1 - x) * period * float64(time.Second))
}
