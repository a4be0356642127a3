package ratelimit

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// maxRate is the highest valid limit in requests per second.
const maxRate = 1e6

// Key identifies one incarnation of a backend server.
type Key struct {
	ID string
	// Born is the start time of the incarnation in Unix milliseconds.
	Born int64
}

// Limit is what a response says about the server's limit.
type Limit struct {
	// Named is false if the server takes requests without a limit.
	Named bool
	// Rate is the limit in requests per second, from 0 to maxRate; 0 if none is named.
	Rate float64
}

// InvalidError reports a limit that cannot be used.
type InvalidError struct {
	// Values are the values of all header fields.
	Values []string
}

func (e *InvalidError) Error() string {
	return fmt.Sprintf("the server's limit is %q, must be one number of requests per second from 0 to %g", e.Values, float64(maxRate))
}

// Parse returns the limit that the header fields of a response name. The error is an
// *InvalidError.
func Parse(values [][]byte) (Limit, error) {
	if len(values) == 0 {
		return Limit{}, nil
	}
	text := strings.TrimSpace(string(values[0]))
	rate, err := strconv.ParseFloat(text, 64)
	if err != nil || len(values) > 1 || strings.ContainsAny(text, "xX_") || math.IsNaN(rate) || rate < 0 || rate > maxRate {
		e := &InvalidError{}
		for _, v := range values {
			e.Values = append(e.Values, string(v))
		}
		return Limit{}, e
	}
	return Limit{Named: true, Rate: rate}, nil
}

// Observation is a limit and when it was observed.
type Observation struct {
	Limit
	// At is when a response that names a limit arrived, or when the request was sent whose
	// response names none: a response without a limit may have been on its way when the server
	// began to name one.
	At time.Time
}

// supersedes reports whether an observation replaces an earlier one.
func (o Observation) supersedes(current Observation) bool { return o.At.After(current.At) }
