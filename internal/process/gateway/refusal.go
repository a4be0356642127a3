package gateway

import (
	"errors"
	"strconv"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/plantainbank/plantainbank/internal/process/feed"
)

// Bounds and default of the Retry-After of a refused submission.
const (
	minRefusalRetry, maxRefusalRetry = 100 * time.Millisecond, 4 * time.Second
	defaultRefusalRetry              = time.Second
)

// RefusedError is returned for a submission that the store group has refused: definitely no store host has
// stored it.
type RefusedError struct {
	Reason     string
	RetryAfter time.Duration
}

func (e *RefusedError) Error() string { return "refused: " + e.Reason }

// refusedError returns the refusal of a submission, nil if the leader has not refused it. An answer without the
// metadata comes from something else on the way.
func refusedError(err error) *RefusedError {
	var e twirp.Error
	if !errors.As(err, &e) || e.Code() != twirp.ResourceExhausted || e.Meta(feed.RetryMeta) == "" {
		return nil
	}
	x := &RefusedError{e.Msg(), defaultRefusalRetry}
	if ms, err := strconv.ParseUint(e.Meta(feed.RetryMeta), 10, 31); err == nil {
		x.RetryAfter = min(max(time.Duration(ms)*time.Millisecond, minRefusalRetry), maxRefusalRetry)
	}
	return x
}
