// Package permit asks the control leader for permits to send requests to backend servers that
// have named a rate limit, and tells it the limits that this host observes.
package permit

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/twitchtv/twirp"
	"github.com/uber-go/tally/v4"

	"github.com/plantainbank/plantainbank/internal/connection/ratelimit"
	"github.com/plantainbank/plantainbank/internal/process/feed"
	"github.com/plantainbank/plantainbank/service/fleet"
)

const (
	// callTimeout bounds a call, which takes a few milliseconds. Callers wait 100 ms for a
	// permit.
	callTimeout = 250 * time.Millisecond
	// retryDelay is the delay after a call that failed.
	retryDelay = 50 * time.Millisecond
	// gatherTime is the time before a call in which further requests join it.
	gatherTime = time.Millisecond
)

// errNoLeader means that no control leader is known.
var errNoLeader = errors.New("no control leader is known")

// Config holds the dependencies of a Client.
type Config struct {
	Host   string
	Book   *ratelimit.Book
	Client *http.Client
	// Leader returns the address of the control leader, empty if unknown.
	Leader func() string
	Log    *logrus.Entry
	Scope  tally.Scope
	// Granted runs after each answer with permits; it may be nil.
	Granted func()
}

// Client keeps a Book supplied with permits.
type Client struct {
	cfg Config
	// leader is the address that a control process has named in place of the known leader.
	leader string
	// failing is true from a failed call until the next answer.
	failing bool
}

// New returns a client.
func New(cfg Config) *Client { return &Client{cfg: cfg} }

// Run calls control whenever the book has something to tell or to ask, until ctx ends.
func (c *Client) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.cfg.Book.Pending():
		}
		time.Sleep(gatherTime)
		if err := c.call(ctx); err != nil {
			c.failed(ctx, err)
		}
	}
}

func (c *Client) call(ctx context.Context) error {
	addr := c.leader
	if addr == "" {
		addr = c.cfg.Leader()
	}
	c.leader = ""
	if addr == "" {
		return errNoLeader
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	p, err := fleet.NewDirectorProtobufClient("http://"+addr, c.cfg.Client).Acquire(ctx, c.cfg.Book.Call(c.cfg.Host, time.Now()))
	if err != nil {
		return err
	}
	LogChanges(c.cfg.Log, c.cfg.Book.Answered(p, time.Now()))
	if c.failing {
		c.failing = false
		c.cfg.Log.WithField("control", addr).Info("permits are granted again")
	}
	granted := uint32(0)
	for _, g := range p.Grants {
		granted += g.Count
		if g.Count == 0 {
			c.cfg.Scope.Counter("permits_denied").Inc(1)
		}
	}
	c.cfg.Scope.Counter("permits_granted").Inc(int64(granted))
	if granted > 0 && c.cfg.Granted != nil {
		c.cfg.Granted()
	}
	return nil
}

// failed records a failed call. The next one goes to the leader that the process called has
// named, if any.
func (c *Client) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	c.cfg.Book.Failed(time.Now())
	c.cfg.Scope.Counter("permit_calls_failed").Inc(1)
	if !c.failing {
		c.failing = true
		c.cfg.Log.WithError(err).Warn("control grants no permits, hosts take turns at servers with a limit")
	}
	var e twirp.Error
	if errors.As(err, &e) && e.Code() == twirp.FailedPrecondition {
		c.leader = e.Meta(feed.LeaderMeta)
	}
	select {
	case <-ctx.Done():
	case <-time.After(retryDelay):
	}
}

// LogChanges logs the limits that other hosts have observed.
func LogChanges(log *logrus.Entry, changes []ratelimit.Change) {
	for _, x := range changes {
		log.WithFields(ratelimit.ChangeFields(x.Key, x.Before, x.After)).WithField("source", "control").Info("server limit changed")
	}
}
