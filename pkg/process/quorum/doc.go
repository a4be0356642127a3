// Package quorum implements a Raft-style replicated log of commands for a small group
// of hosts.
//
// Core is the protocol without any I/O. Node drives one Core with the system clock and
// with the disk, transport and state machine that the embedder supplies as functions.
//
// A replica is identified by the storage number in its data directory, not by its
// address. A replica with an empty disk is a new one: it joins as a learner and is
// promoted to voter once it has caught up. A replica that lost its disk, and with it the
// record of its votes, therefore cannot vote twice in one term.
//
// A leader's lease starts at the send time of the latest heartbeat round that a majority
// answered. Replicas refuse to vote for one election timeout after contact with a leader
// and after their own start, so no other leader can be elected while the lease is valid,
// provided that the clocks drift by less than Timing.Election minus Timing.Lease in that
// period.
package quorum
