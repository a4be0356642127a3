// Package replica runs one replica of a group: the replicated log of package quorum over a
// data directory of package disk, with the transport to its peers and with membership
// changes that need no operator.
//
// A group is bootstrapped once, by one process that knows all initial voters. Every other
// process joins: when a voter is missing, the leader adds it as a learner, promotes it once
// it has caught up, and then removes the voter that it replaces. One voter changes at a
// time. Plan makes these decisions without any I/O.
package replica
