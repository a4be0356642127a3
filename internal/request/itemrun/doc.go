// Package itemrun runs one item of a batch on one engine: it sends the request, reads the
// events and reports the outcome of the run. An item whose stream was interrupted can
// resume on another engine after its last complete event; incomplete events are discarded.
package itemrun
