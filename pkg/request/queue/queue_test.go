package queue

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// pool is a fake pool of interchangeable slots.
type pool struct {
	mu   sync.Mutex
	free int
	size int
}

func (p *pool) pick() (int, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.free == 0 {
		return 0, false
	}
	p.free--
	return 1, true
}

func (p *pool) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.free++
}

func newPool(n int) *pool { return &pool{free: n, size: n} }

func request(p *pool, workspace string, weight, cost float64, deadline time.Duration) *Request[int] {
	return &Request[int]{Workspace: workspace, Weight: weight, Cost: cost, Deadline: time.Now().Add(deadline), Pick: p.pick}
}

// offer runs n closed-loop clients of a workspace and counts the served
// requests.
func offer(ctx context.Context, q *Queue[int], p *pool, workspace string, weight float64, n int, served *atomic.Int64) {
	for range n {
		go func() {
			for ctx.Err() == nil {
				_, err := q.Acquire(ctx, request(p, workspace, weight, 1, time.Hour))
				if err != nil {
					return
				}
				time.Sleep(10 * time.Millisecond)
				p.release()
				q.Release(workspace, 10*time.Millisecond)
				served.Add(1)
			}
		}()
	}
}

// TestFairness overloads the queue from one workspace: the other workspaces must
// get their weighted shares, and the overloading one the unused capacity.
func TestFairness(t *testing.T) {
	for _, c := range []struct {
		name    string
		weights map[string]float64
		offered map[string]int
		share   map[string]float64
	}{
		{"flood against small", map[string]float64{"flood": 1, "a": 1, "b": 1}, map[string]int{"flood": 200, "a": 10, "b": 10},
			map[string]float64{"flood": 1. / 3, "a": 1. / 3, "b": 1. / 3}},
		{"weights", map[string]float64{"big": 4, "small": 1}, map[string]int{"big": 50, "small": 50},
			map[string]float64{"big": 0.8, "small": 0.2}},
		{"unused share", map[string]float64{"flood": 1, "idle": 1}, map[string]int{"flood": 50, "idle": 0},
			map[string]float64{"flood": 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPool(4)
				q := New[int](Settings{MaxWaiting: 1000, NoEarlyRefusal: true}, func() int { return p.size })
				ctx, cancel := context.WithCancel(context.Background())
				served := map[string]*atomic.Int64{}
				for w, n := range c.offered {
					served[w] = &atomic.Int64{}
					offer(ctx, q, p, w, c.weights[w], n, served[w])
				}
				time.Sleep(10 * time.Second)
				cancel()
				time.Sleep(time.Second) // lets the clients stop
				for w, share := range c.share {
					if n := served[w].Load(); float64(n) < 0.9*share*4000 {
						t.Errorf("%s was served %d times of %.0f", w, n, share*4000)
					}
				}
			})
		})
	}
}

func TestRefusals(t *testing.T) {
	for _, c := range []struct {
		name   string
		reason string
		run    func(q *Queue[int], p *pool) error
	}{
		{"queue full", ReasonQueueFull, func(q *Queue[int], p *pool) error {
			for range 3 {
				go q.Acquire(context.Background(), request(p, "w", 1, 1, time.Second))
			}
			synctest.Wait()
			return acquire(q, request(p, "w", 1, 1, time.Hour))
		}},
		{"wait passes the deadline", ReasonWaitTooLong, func(q *Queue[int], p *pool) error {
			acquire(q, request(p, "w", 1, 1, time.Hour))
			q.Release("w", 10*time.Second) // sets the service time to 10 s; the slot itself stays taken
			go q.Acquire(context.Background(), request(p, "w", 1, 1, time.Minute))
			synctest.Wait()
			return acquire(q, request(p, "w", 1, 1, time.Second))
		}},
		{"deadline passes", ReasonDeadlinePassed, func(q *Queue[int], p *pool) error {
			acquire(q, request(p, "w", 1, 1, time.Hour))
			return acquire(q, request(p, "w", 1, 1, time.Second))
		}},
		{"stopped", ReasonStopped, func(q *Queue[int], p *pool) error {
			q.Stop()
			return acquire(q, request(p, "w", 1, 1, time.Second))
		}},
		{"stopped while waiting", ReasonStopped, func(q *Queue[int], p *pool) error {
			acquire(q, request(p, "w", 1, 1, time.Hour))
			time.AfterFunc(time.Second, q.Stop)
			return acquire(q, request(p, "w", 1, 1, time.Minute))
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPool(1)
				if c.reason == ReasonQueueFull {
					p.free = 0
				}
				q := New[int](Settings{MaxWaiting: 3}, func() int { return p.size })
				err := c.run(q, p)
				var refused *RefusedError
				if !errors.As(err, &refused) || refused.Reason != c.reason {
					t.Fatalf("error is %v, want %s", err, c.reason)
				}
				time.Sleep(2 * time.Minute) // lets every waiting request end
			})
		})
	}
}

func acquire(q *Queue[int], r *Request[int]) error {
	_, err := q.Acquire(context.Background(), r)
	return err
}

// TestCanceledWaitersLeaveTheQueue guards against requests that stay queued, or
// count as demand, after their context ended.
func TestCanceledWaitersLeaveTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(1)
		q := New[int](Settings{MaxWaiting: 10, NoEarlyRefusal: true}, func() int { return 1 })
		if err := acquire(q, request(p, "w", 1, 1, time.Hour)); err != nil {
			t.Fatal(err)
		}
		for i := range 50 {
			ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
			_, err := q.Acquire(ctx, request(p, fmt.Sprint("w", i%5), 1, 1, time.Hour))
			cancel()
			if !errors.Is(err, context.DeadlineExceeded) {
				t.Fatalf("error is %v", err)
			}
		}
		p.release()
		q.Release("w", time.Second)
		if d := q.Demand(); len(d) != 0 {
			t.Fatalf("demand is %v", d)
		}
		if err := acquire(q, request(p, "w1", 1, 1, time.Hour)); err != nil {
			t.Fatal(err)
		}
	})
}

// TestLoadIgnoresTheBacklog offers 20 requests a second of 100 ms each to a
// single slot that is taken: the load is 2, however many requests wait or are
// refused.
func TestLoadIgnoresTheBacklog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(1)
		q := New[int](Settings{MaxWaiting: 5}, func() int { return 1 })
		acquire(q, request(p, "w", 1, 1, time.Hour))
		q.Release("w", 100*time.Millisecond) // sets the service time to 100 ms; the slot itself stays taken
		q.Load()
		for range 100 {
			go acquire(q, request(p, "w", 1, 1, time.Second))
			time.Sleep(50 * time.Millisecond)
		}
		if load := q.Load(); load < 1.9 || load > 2.1 {
			t.Errorf("load is %.2f, want 2", load)
		}
		time.Sleep(2 * time.Second) // lets every waiting request end
	})
}
