package placement

import (
	"time"

	"github.com/plantainbank/plantainbank/internal/connection/departure"
	"github.com/plantainbank/plantainbank/internal/connection/ratelimit"
)

// Requirement describes what a request needs of a server.
type Requirement struct {
	Service string
	// Model and MinVersion are the weights that must be loaded; an empty model
	// requires none.
	Model      string
	MinVersion uint64
	// Software is the software version that the server must have, since the request goes on with
	// what a server of that version has begun; nil allows any.
	Software *string
	// Prefer is the ID of a server that has the prompt cached.
	Prefer string
	// Avoid lists the servers at which the request has failed.
	Avoid map[string]bool
	// Fast prefers the fastest server: the request takes most of the time that is left for
	// it, and its duration depends far more on the server's pace than on its load.
	Fast bool
	// Saved returns the reading time that the request saves at a server that has a part of its
	// prompt cached. If it is nil, Prefer decides; else Events and Level are used too, not Prefer.
	Saved func(id string, born int64) time.Duration
	// Events is the number of events that the request is expected to produce yet.
	Events float64
	// Level is the cost up to which a server with the prompt may be loaded: the result of Table.Level, or
	// 0 for the cost of the best server.
	Level float64
	// Strict excludes servers whose slots are all in use. Without it the server
	// with the lowest cost gets the request even if it is full.
	Strict bool
	// Priority is lower for more urgent requests, which get the permits of a server with a rate
	// limit first.
	Priority int
	// Asked holds when control was asked for a permit, by server ID. Take adds to it.
	Asked map[string]time.Time
	// IgnoreCooldown includes servers in cooldown. It is for the case that no other
	// server is left, since a server in cooldown may have recovered.
	IgnoreCooldown bool
}

// Slot is the permission to send one request to a server. It must be released with
// Done.
type Slot struct {
	ID, Addr string
	Born     int64
	// Service and Software are the server's service and the version of its software.
	Service, Software string
	// Model is the model of the request, empty if it needs none.
	Model string
	// Taken is when the slot was taken.
	Taken time.Time
	// Running is the number of requests that this host has in flight at the server,
	// including this one.
	Running int
	// Cold reports whether the server was cold.
	Cold bool
}

// Key returns the incarnation of the server.
func (x Slot) Key() ratelimit.Key { return ratelimit.Key{ID: x.ID, Born: x.Born} }

// Incarnation returns the server from its start to its end.
func (x Slot) Incarnation() departure.Incarnation {
	return departure.Incarnation{ID: x.ID, Born: x.Born}
}
