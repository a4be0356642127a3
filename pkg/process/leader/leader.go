// Package leader calls the leader of the control hosts, wherever it is.
package leader

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	pb "github.com/plantainbank/plantainbank/service/control"
)

// UnreachableError reports that no leader answered in time. The outcome of the
// call is unknown.
type UnreachableError struct{ Last error }

func (e *UnreachableError) Error() string { return "no control leader answered: " + e.Last.Error() }

func (e *UnreachableError) Unwrap() error { return e.Last }

// retryPause is the pause after a full round over the control hosts.
const retryPause = 50 * time.Millisecond

// Client calls the leader. It is safe for concurrent use.
type Client struct {
	addrs  []string
	http   *http.Client
	scheme string
	mu     sync.Mutex
	// current is the address that answered last.
	current int
	stubs   map[string]pb.Control
}

// New returns a client for the control hosts at addrs.
func New(addrs []string, client *http.Client, scheme string) *Client {
	return &Client{addrs: slices.Clone(addrs), http: client, scheme: scheme, stubs: map[string]pb.Control{}}
}

// Call runs f against the leader until it succeeds, the leader refuses it or
// ctx ends. f must be idempotent: it is run again whenever the outcome is
// unknown. try bounds each run.
func (c *Client) Call(ctx context.Context, try time.Duration, f func(ctx context.Context, control pb.Control) error) error {
	var err error
	for n := 1; ; n++ {
		tryCtx, cancel := context.WithTimeout(ctx, try)
		err = f(tryCtx, c.stub())
		cancel()
		if err == nil || final(err) {
			return err
		}
		if !c.follow(err) && n%len(c.addrs) == 0 {
			pause(ctx, retryPause)
		}
		if ctx.Err() != nil {
			return &UnreachableError{Last: err}
		}
	}
}

// Once runs f once. An error points the next call at another host, unless the
// caller itself cancelled this one.
func (c *Client) Once(ctx context.Context, f func(ctx context.Context, control pb.Control) error) error {
	err := f(ctx, c.stub())
	if err != nil && !final(err) && !errors.Is(ctx.Err(), context.Canceled) {
		c.follow(err)
	}
	return err
}

// final reports whether the leader itself refused the call.
func final(err error) bool {
	var t twirp.Error
	if !errors.As(err, &t) {
		return false
	}
	switch t.Code() {
	case twirp.InvalidArgument, twirp.NotFound, twirp.AlreadyExists, twirp.Aborted:
		return true
	}
	return false
}

func (c *Client) stub() pb.Control {
	c.mu.Lock()
	defer c.mu.Unlock()
	addr := c.addrs[c.current]
	s := c.stubs[addr]
	if s == nil {
		s = pb.NewControlProtobufClient(c.scheme+addr, c.http)
		c.stubs[addr] = s
	}
	return s
}

// follow points at the leader that an error names, or at the next host. It
// returns whether the leader was named.
func (c *Client) follow(err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	var t twirp.Error
	if errors.As(err, &t) {
		if i := slices.Index(c.addrs, t.Meta("leader")); i >= 0 && i != c.current {
			c.current = i
			return true
		}
	}
	c.current = (c.current + 1) % len(c.addrs)
	return false
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
