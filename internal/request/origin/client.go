package origin

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/plantainbank/plantainbank/service/fleet"
)

const (
	// callTimeout bounds a call, which takes a few milliseconds.
	callTimeout = 250 * time.Millisecond
	// retryDelay is the delay after a call that failed, and before a leader that may yet learn of a
	// stream is asked again.
	retryDelay = 30 * time.Millisecond
	// unknownAnswers is the number of settled answers after which a stream counts as unknown: its
	// record may be on its way from another host.
	unknownAnswers = 3
	// maxStreams bounds the streams of a call.
	maxStreams = 512
)

// ErrUnknown means that nobody knows where a stream has begun.
var ErrUnknown = errors.New("it is not known where the stream has begun")

// errNoLeader means that no control leader is known.
var errNoLeader = errors.New("no control leader is known")

// Config holds the dependencies of a Client.
type Config struct {
	Table  *Table
	Client *http.Client
	// Leader returns the address of the control leader, empty if unknown.
	Leader func() string
	Log    *logrus.Entry
	Scope  tally.Scope
}

// Client tells the control leader where streams begin, and asks it. It is safe for concurrent use.
type Client struct{ cfg Config }

// New returns a client.
func New(cfg Config) *Client { return &Client{cfg} }

func (c *Client) director() (fleet.Director, error) {
	addr := c.cfg.Leader()
	if addr == "" {
		return nil, errNoLeader
	}
	return fleet.NewDirectorProtobufClient("http://"+addr, c.cfg.Client), nil
}

// Run tells control of streams until ctx ends.
func (c *Client) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.cfg.Table.Pending():
		}
		records := c.cfg.Table.untoldRecords(maxStreams)
		if err := c.tell(ctx, records); err != nil {
			c.cfg.Scope.Counter("stream_records_failed").Inc(1)
			select {
			case <-ctx.Done():
			case <-time.After(retryDelay):
			}
			c.cfg.Table.signal()
			continue
		}
		c.cfg.Table.told(records)
	}
}

func (c *Client) tell(ctx context.Context, records []record) error {
	if len(records) == 0 {
		return nil
	}
	d, err := c.director()
	if err != nil {
		return err
	}
	q := &fleet.Streams{}
	for _, r := range records {
		q.Streams = append(q.Streams, &fleet.Stream{Workspace: r.key.Workspace, Request: r.key.Request, Service: r.Service, Software: r.Software})
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err = d.Began(ctx, q)
	return err
}

// Find returns where a stream has begun, and the revision of the roster by which it may go on, zero if
// it has begun at this host. service is the only service that its route allows, empty if
// there are several. While no leader answers, or the leader may yet learn of the stream, it tries
// again until the time given. The error is then that of the last call, or ErrUnknown.
func (c *Client) Find(ctx context.Context, k Key, service string, until time.Time) (o Origin, roster uint64, err error) {
	if o, ok := c.cfg.Table.Find(k); ok {
		return o, 0, nil
	}
	if !k.valid() {
		return Origin{}, 0, ErrUnknown
	}
	for settled := 0; ; {
		a, err := c.ask(ctx, k, service)
		switch {
		case err == nil && a.Known:
			return Origin{a.Service, a.Software}, a.Roster, nil
		case err == nil && a.Settled:
			settled++
		}
		if settled >= unknownAnswers || ctx.Err() != nil || !time.Now().Add(retryDelay).Before(until) {
			if err == nil {
				err = ErrUnknown
			}
			return Origin{}, 0, err
		}
		time.Sleep(retryDelay)
	}
}

func (c *Client) ask(ctx context.Context, k Key, service string) (*fleet.Stream, error) {
	d, err := c.director()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return d.Find(ctx, &fleet.Stream{Workspace: k.Workspace, Request: k.Request, Service: service})
}
