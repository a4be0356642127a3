// Package ratelimit keeps to the request rates that backend servers name in their responses: the
// requests per second that a server takes from all hosts together. It does no I/O.
package ratelimit
