// Package leader provides a client that finds the leader of the control hosts and calls it.
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

// UnreachableError reports that no leader answered before the context ended. Last is the
// error of the last attempt. The outcome of the call is unknown.
type UnreachableError struct{ Last error }

func (e *UnreachableError) Error() string { return "no control leader answered: " + e.Last.Error() }

func (e *UnreachableError) Unwrap() error { return e.Last }

// retryDelay is the delay after each control host has been tried once without success.
const retryDelay = 50 * time.Millisecond

// Client calls the control leader. It is safe for concurrent use.
type Client struct {
	addrs  []string
	http   *http.Client
	scheme string
	mu     sync.Mutex
	// current is the index in addrs of the host to call next.
	current int
	// stubs contains the RPC client of each address called so far.
	stubs map[string]pb.Control
}

// New returns a client for the control hosts at addrs.
func New(addrs []string, client *http.Client, scheme string) *Client {
	return &Client{addrs: slices.Clone(addrs), http: client, scheme: scheme, stubs: map[string]pb.Control{}}
}

// Call runs f with a client of the leader until it succeeds, the leader refuses the call or
// ctx ends. f must be idempotent: it is run again whenever the outcome of an attempt is
// unknown. timeout bounds each attempt.
func (c *Client) Call(ctx context.Context, timeout time.Duration, f func(ctx context.Context, control pb.Control) error) error {
	var err error
	for n := 1; ; n++ {
		attemptCtx, cancel := context.WithTimeout(ctx, timeout)
		err = f(attemptCtx, c.stub())
		cancel()
		if err == nil || isRefusal(err) {
			return err
		}
		if !c.selectHost(err) && n%len(c.addrs) == 0 {
			sleep(ctx, retryDelay)
		}
		if ctx.Err() != nil {
			return &UnreachableError{Last: err}
		}
	}
}

// CallOnce runs f once. After an error that is not a refusal by the leader, the next call
// goes to another host, unless the caller canceled ctx.
func (c *Client) CallOnce(ctx context.Context, f func(ctx context.Context, control pb.Control) error) error {
	err := f(ctx, c.stub())
	if err != nil && !isRefusal(err) && !errors.Is(ctx.Err(), context.Canceled) {
		c.selectHost(err)
	}
	return err
}

// isRefusal reports whether err is a refusal by the leader, which must not be retried.
func isRefusal(err error) bool {
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

// selectHost selects the host to call after an error: the leader that the error names or, if
// it names no other host, the next one. It reports whether the error named the host.
func (c *Client) selectHost(err error) bool {
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

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
