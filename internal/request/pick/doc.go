// Package pick decides which item of the open batches runs next. It does no
// input or output.
//
// Load pattern: a trainer hands in groups of items and waits for nine tenths
// of the groups by a deadline; several batches are open; items of earlier
// groups come back first. A group is worth something only when it is whole, so
// groups are finished rather than all begun: batches by deadline, then groups
// that have begun by the items they lack, then the others in the order in which
// they were handed in. An item that came back from a broken run goes first,
// since its group has begun.
package pick
