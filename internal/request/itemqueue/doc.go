// Package itemqueue orders the waiting items of the open batches for execution. It
// does no I/O.
//
// Load pattern: a trainer submits groups of items and waits for nine tenths of the
// groups by a deadline. Several batches are open at once, and a batch begins with the
// items of unfinished groups of earlier steps. One item in twelve takes five times as
// long as the others, which is most of the time available to its step; callers estimate
// lengths. A step is submitted at once and has more items than there are slots.
//
// The item with the earliest latest start time runs first (least laxity, Mok 1983), so
// long items run at the beginning of a step and short ones meanwhile. Among items whose
// latest start falls into the same half second, groups are completed one after the
// other instead of all being started, because a group is useful only when it is
// complete: started groups come first, ordered by the number of items still waiting,
// then the others in submission order. An item that is requeued with the events of an
// earlier run precedes all others, because its group has already started.
//
// Beyond capacity that order makes every step late, one after another. A plan, made a few times a second, therefore
// forecasts which groups can be complete in time (package forecast). If not all can, those of higher priority and
// those that can be complete go first, chosen so that trainers get equal shares (package fairshare); among them the
// order is as above. The order is kept between dispatches, and only the items of groups that have changed
// are sorted again.
//
// Rejected alternative: ordering by groups in submission order alone. Long items then
// start up to two seconds late and determine when the step ends.
package itemqueue
