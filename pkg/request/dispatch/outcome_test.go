package dispatch

import (
	"context"
	"errors"
	"net/http"
	"testing"

	"github.com/plantainbank/plantainbank/pkg/connection/backendserver"
	"github.com/plantainbank/plantainbank/pkg/request/attempt"
)

func TestOutcomes(t *testing.T) {
	busy := func(status int, ran attempt.Ran) error {
		return &attempt.Error{Phase: "answer", Ran: ran, Err: &attempt.BusyError{Status: status}}
	}
	for _, c := range []struct {
		name string
		err  error
		want backendserver.Outcome
	}{
		{"served", nil, backendserver.Served},
		{"refused", busy(http.StatusServiceUnavailable, attempt.RanNo), backendserver.Refused},
		{"an error of the server", busy(http.StatusInternalServerError, attempt.RanYes), backendserver.Failed},
		{"an error of the caller", &attempt.Error{Phase: "answer", Ran: attempt.RanYes, Err: &callerError{errors.New("gone")}}, backendserver.Abandoned},
		{"a reset", &attempt.Error{Phase: "receive", Ran: attempt.RanUnknown, Broken: true, Err: errors.New("reset")}, backendserver.ConnectionLost},
		{"an invalid response", &attempt.Error{Phase: "answer", Ran: attempt.RanYes, Err: errors.New("gap")}, backendserver.Failed},
	} {
		if got := outcomeOf(context.Background(), c.err); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}
