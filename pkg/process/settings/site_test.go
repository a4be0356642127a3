package settings

import (
	"errors"
	"testing"

	"github.com/plantainbank/plantainbank/pkg/version/strictjson"
)

// TestLimitsOnBodiesAreChecked guards against limits with which a process would refuse everything, or nothing.
func TestLimitsOnBodiesAreChecked(t *testing.T) {
	for field, b := range map[string]Bodies{
		"":                   {MemoryMB: 144, Stall: 1000, Connections: 16},
		"bodies.memory":      {MemoryMB: 145},
		"bodies.stall":       {Stall: 20001},
		"bodies.connections": {Connections: 15},
	} {
		var wrong *strictjson.FieldError
		switch err := b.check(144); {
		case field == "" && err != nil:
			t.Error(err)
		case field != "" && (!errors.As(err, &wrong) || wrong.Field != field):
			t.Errorf("%+v gave %v, want an error about %s", b, err, field)
		}
	}
	l := DefaultEntry().Limits
	l.FlightBytes = l.MaxBodyBytes - 1
	if err := l.check(); err == nil {
		t.Error("bodies in flight below the size of one body are accepted")
	}
}
