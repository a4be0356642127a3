// Package admission decides which calls to a plain service are refused by the entry host that got them,
// while the servers of the service together cannot take all calls. A Host counts calls and applies
// shares, a Ledger at the control leader adds up the counts and divides the capacity. It does no I/O.
//
// Load pattern: one workspace sends several times what three servers of six slots can take, spread
// over 75 hosts, beside ordinary workspaces with a few calls per second each; a server is lost for
// seconds, and refused callers come back.
package admission
