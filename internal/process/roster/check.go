package roster

import (
	"fmt"
	"math"
	"net"
	"strconv"
	"time"
	"unicode/utf8"

	"github.com/plantainbank/plantainbank/internal/version/routing"
)

// Bounds of an instance. Anyone can send an announcement; one beyond them comes from no backend server.
const (
	// maxNameBytes is the maximum length of an ID, a name of a service, zone or model, and a software
	// version.
	maxNameBytes = 512
	maxSlots     = 1 << 16
	maxModels    = 1 << 10
	// MaxCold is the longest time for which an instance can be cold.
	MaxCold = 24 * time.Hour
	// maxBorn is the start time of an instance that starts in the year 9999, in Unix milliseconds.
	maxBorn = 253402300799999
	// maxSeq is the largest number that JSON carries exactly.
	maxSeq = 1<<53 - 1
)

// Check returns a *routing.FieldError if no backend server can have such an entry. Entries are sent to
// all hosts, so an invalid one must not get into a table.
func (x *Instance) Check() error {
	if err := CheckID(x.ID); err != nil {
		return err
	}
	for _, f := range []struct{ field, text string }{{"service", x.Service}, {"zone", x.Zone}, {"version", x.Software}} {
		if err := checkName(f.field, f.text); err != nil {
			return err
		}
	}
	if len(x.Weights) > maxModels {
		return &routing.FieldError{Field: "models", Problem: fmt.Sprintf("has %d entries, at most %d are possible", len(x.Weights), maxModels)}
	}
	for name := range x.Weights {
		if err := checkName("models", name); err != nil {
			return err
		}
	}
	switch {
	case x.State != Ready && x.State != Draining && x.State != Gone:
		return &routing.FieldError{Field: "state", Problem: fmt.Sprintf("is %q", x.State)}
	case x.Born < 0 || x.Born > maxBorn:
		return &routing.FieldError{Field: "born", Problem: fmt.Sprintf("is %d, must be a time in Unix milliseconds", x.Born)}
	case x.Seq > maxSeq:
		return &routing.FieldError{Field: "seq", Problem: fmt.Sprintf("is %d, must be at most %d", x.Seq, maxSeq)}
	case x.ColdUntil < 0 || x.ColdUntil > maxBorn+MaxCold.Milliseconds():
		return &routing.FieldError{Field: "colduntil", Problem: fmt.Sprintf("is %d, must be a time in Unix milliseconds", x.ColdUntil)}
	case x.State == Gone:
		return nil // one that is known only by its departure has no address
	case x.Slots < 1 || x.Slots > maxSlots:
		return &routing.FieldError{Field: "slots", Problem: fmt.Sprintf("is %d, must be from 1 to %d", x.Slots, maxSlots)}
	}
	return checkAddr(x.Addr)
}

// CheckID returns a *routing.FieldError if no instance can have an ID. IDs are sent in headers and in
// messages between processes.
func CheckID(id string) error {
	if id == "" {
		return &routing.FieldError{Field: "id", Problem: "is missing"}
	}
	for _, r := range id {
		if r < ' ' || r == 0x7f {
			return &routing.FieldError{Field: "id", Problem: fmt.Sprintf("%q has control characters", id)}
		}
	}
	return checkName("id", id)
}

func checkName(field, text string) error {
	switch {
	case !utf8.ValidString(text):
		return &routing.FieldError{Field: field, Problem: fmt.Sprintf("%q is not valid UTF-8", text)}
	case len(text) > maxNameBytes:
		return &routing.FieldError{Field: field, Problem: fmt.Sprintf("has %d bytes, at most %d are possible", len(text), maxNameBytes)}
	}
	return nil
}

func checkAddr(addr string) error {
	host, port, err := net.SplitHostPort(addr)
	if err != nil || net.ParseIP(host) == nil {
		return &routing.FieldError{Field: "addr", Problem: fmt.Sprintf("is %q, must be an IP address and port", addr)}
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return &routing.FieldError{Field: "addr", Problem: fmt.Sprintf("has port %q, must be from 1 to %d", port, math.MaxUint16)}
	}
	return nil
}

// DropInvalid returns the valid instances of a list and what is wrong with the others, by ID. Lists from
// a log or a leader of an older version may have invalid ones.
func DropInvalid(all []Instance) (valid []Instance, invalid map[string]error) {
	for i := range all {
		err := all[i].Check()
		if err == nil {
			continue
		}
		if invalid == nil {
			invalid, valid = map[string]error{}, append(valid, all[:i]...)
		}
		invalid[all[i].ID] = err
	}
	if invalid == nil {
		return all, nil
	}
	valid = valid[:0]
	for i := range all {
		if invalid[all[i].ID] == nil {
			valid = append(valid, all[i])
		}
	}
	return valid, invalid
}
