// Package quorum replicates a log of commands over a few hosts.
//
// Core is the protocol without input or output. Node drives one Core with the
// runtime's clock and with the disk, transport and state machine that the
// embedder passes as functions.
//
// A replica is named by its storage number, which lives on its disk. An empty
// disk is a new replica: it joins as a learner and is promoted when it has
// caught up, so a vote that was lost with a disk can never be cast twice.
//
// A leader holds a lease that counts from the send time of the last heartbeat
// round that a majority answered. Replicas refuse to vote for one election
// timeout after hearing a leader, and after their own start, so no other
// leader can be elected while the lease runs, as long as clocks drift by less
// than Timing.Election minus Timing.Lease in that period.
package quorum
