// Package replica runs one replica of a group: the replicated log of package
// quorum over a data folder of package disk, with messages to its peers and
// with a membership that needs no operator.
//
// A group is founded once, by one process that was told all founders. Every
// other process joins: the leader adds it as a learner when a voter is
// missing, promotes it when it has caught up, and then removes the voter that
// it replaces. One voter changes at a time. Plan takes these decisions without
// input or output.
package replica
