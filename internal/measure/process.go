// Package measure measures real processes: the slopes behind docs/CAPACITY.md
// and the scenarios behind docs/MEASUREMENTS.md.
package measure

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// ticksPerSecond is the unit of processor time in /proc on Linux.
const ticksPerSecond = 100

// Use is what a process used over a period.
type Usage struct {
	// Core is the part of one processor core.
	CPU float64
	// Bytes is the resident memory at the end.
	ResidentBytes int64
}

// useOf measures a process for a period.
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

// line is a least-squares fit y = Base + Slope * x.
type line struct{ Base, Slope float64 }

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
