// Package pick decides which item of the open batches runs next. It does no
// input or output.
//
// Load pattern: a trainer hands in groups of items and waits for nine tenths
// of the groups by a deadline; several batches are open; items of earlier
// groups come back first. One item in twelve takes five times as long as the
// others, most of the time that its step has, and callers estimate lengths. A
// step is handed in at once, and has more items than there are slots.
//
// The item that must start first to be done in time goes first (least laxity,
// Mok 1983): long items at the beginning of a step, short ones meanwhile. Among
// those that must start within the same half second, groups are finished rather
// than all begun, since a group is worth something only when it is whole: groups
// that have begun by the items they lack, then the others in the order in which
// they were handed in. An item that came back from a broken run goes before all,
// since its group has begun.
//
// Weighed and left out: groups only, in the order of the submission; long items
// then start up to two seconds late and decide when the step ends.
package itemqueue
