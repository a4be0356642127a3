// Package scorequeue orders the calls that score complete texts, and bounds how many of them
// run. It does no I/O.
//
// Load pattern: each item of a step ends with one call to a plain service that also serves
// callers. Callers expect a response within 150 ms and come all the time; the scores of a step
// come in bursts, when its items end, and are needed by the end of the step only. A call takes
// eight times as long as a caller's. One call in a hundred fails, a few fail always, and the
// service loses servers or becomes slow like any other.
//
// The calls use at most slotShare of the slots of the servers that are usable now, so that a
// caller finds a free slot at most servers. A group is useful only when it is complete: the
// calls of the groups with the fewest missing results go first, then those that are due first.
// A call that failed waits for a delay that doubles, so that calls which fail always do not
// take the place of others.
//
// Rejected alternative: one call a finished item at once. In the burst at the end of a step
// the calls then fill every server's queue, and each caller of that second is late.
package scorequeue
