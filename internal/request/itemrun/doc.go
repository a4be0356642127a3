// Package itemrun runs one item of a batch at one engine: it sends the request,
// reads the events and tells how the run ended. An item whose stream broke goes
// on at another engine after its last whole event; a piece of an event is
// dropped.
package itemrun
