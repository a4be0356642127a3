// Package httpheader names the headers that a site uses towards callers and
// backend servers. The packages that write and read requests are told them, so
// that no name of a platform stands in the product.
package httpheader

// Headers are the names of the headers of a site. An empty name means that the
// site has no such header.
type Names struct {
	// Request is the number of a request; answers echo it.
	RequestID string
	// Remaining is the time that is left, in ms.
	RemainingMS string
	// Instance names the only instance that may run a request.
	Instance string
	// Workspace is the owner of the caller's key.
	Workspace string
	// NotRun marks an answer of a server that did not run the request.
	NotRun string
	// Load tells running requests, waiting requests and slots.
	Load string
	// Stamp is the server's signature of an answer.
	Signature string
	// Versions is the weight version that produces the events of a stream.
	WeightVersion string
	// Priority is a request's urgency at an engine; 0 is first.
	Priority string
	// ResumeAfter is the number of the last event that the caller has.
	LastEventID string
}
