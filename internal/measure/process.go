// Package measure runs deployments of real processes and measures them. It produces the
// cost per host, server, record, sample and token in docs/CAPACITY.md, and the results of
// the scenarios in docs/MEASUREMENTS.md.
package measure

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// ticksPerSecond is the number of clock ticks per second in which Linux reports CPU time
// in /proc.
const ticksPerSecond = 100

// Usage is the resource usage of a process over a period.
type Usage struct {
	// CPU is the average CPU usage as a fraction of one core.
	CPU float64
	// ResidentBytes is the resident memory at the end of the period.
	ResidentBytes int64
}

// measureUsage measures a process for the given period.
func measureUsage(pid int, period time.Duration) (Usage, error) {
	before, err := cpuTime(pid)
	if err != nil {
		return Usage{}, err
	}
	start := time.Now()
	time.Sleep(period)
	after, err := cpuTime(pid)
	if err != nil {
		return Usage{}, err
	}
	elapsed := time.Since(start)
	bytes, err := residentBytes(pid)
	return Usage{CPU: (after - before).Seconds() / elapsed.Seconds(), ResidentBytes: bytes}, err
}

// cpuTime returns the CPU time that a process has used, in user and kernel mode.
func cpuTime(pid int) (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	user, err := strconv.ParseInt(fields[11], 10, 64)
	if err != nil {
		return 0, err
	}
	system, err := strconv.ParseInt(fields[12], 10, 64)
	return time.Duration(user+system) * time.Second / ticksPerSecond, err
}

func residentBytes(pid int) (int64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, err
	}
	pages, err := strconv.ParseInt(strings.Fields(string(data))[1], 10, 64)
	return pages * int64(os.Getpagesize()), err
}

// line is the function y = Base + Slope * x.
type line struct{ Base, Slope float64 }

// fitLine returns the least-squares fit through the points (xs[i], ys[i]).
func fitLine(xs, ys []float64) line {
	var sx, sy, sxx, sxy float64
	n := float64(len(xs))
	for i := range xs {
		sx += xs[i]
		sy += ys[i]
		sxx += xs[i] * xs[i]
		sxy += xs[i] * ys[i]
	}
	slope := (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return line{(sy - slope*sx) / n, slope}
}
