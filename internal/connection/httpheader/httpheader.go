// Package httpheader defines the names of the HTTP headers that a site uses towards
// callers and backend servers. They are passed to the packages that read and write
// requests, so that no platform's header names are fixed in the code of the service.
package httpheader

import (
	"slices"
	"strings"
)

// reserved lists the headers of one connection, and those that a server must not get from a caller.
var reserved = []string{"Authorization", "Connection", "Content-Length", "Host", "Keep-Alive", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade"}

// Names are the header names of a site. An empty name means that the site does not use
// the header.
type Names struct {
	// RequestID is the ID of a request, which responses echo.
	RequestID string
	// RemainingMS is the time until the deadline of a request in milliseconds.
	RemainingMS string
	// Instance is the ID of the only instance that may run a request.
	Instance string
	// Workspace is the workspace of the caller's key.
	Workspace string
	// NotRun marks a response of a server that did not run the request.
	NotRun string
	// Load contains the server's numbers of running requests, waiting requests and
	// slots.
	Load string
	// RateLimit is the number of requests per second that the server takes from all hosts
	// together.
	RateLimit string
	// Leaving is set by a server that leaves; its only valid value is 1.
	Leaving string
	// Signature is the server's signature of a response.
	Signature string
	// WeightVersion is the weight version that generates the events of a stream.
	WeightVersion string
	// Priority is the priority of a request at an engine; 0 is the highest.
	Priority string
	// LastEventID is the ID of the last event that the caller has received. The
	// stream resumes after it.
	LastEventID string
	// Resumes is the ID of the caller attempt that brought the first event of the stream that a
	// request takes up.
	Resumes string
	// PromptPrefix lists the parts of an item's prompt in order, as promptcache.Parse reads them.
	PromptPrefix string
}

// Reserved reports whether a header of an item's request is set by the system only, whatever its
// caller says. Names are compared regardless of case, as HTTP does.
func (n Names) Reserved(name string) bool {
	same := func(x string) bool { return x != "" && strings.EqualFold(x, name) }
	return slices.ContainsFunc([]string{n.RequestID, n.Instance, n.Workspace, n.LastEventID}, same) ||
		slices.ContainsFunc(reserved, same)
}
