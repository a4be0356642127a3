// Package store is the store process of a site: a replica of the batches, and
// on the leader of the group the driver that runs their items at engines.
//
// A batch is accepted, and a result becomes readable, once it is synced on a
// majority of the group. The group is founded by control once and mends its
// membership by itself. The leader alone runs items: state and decision are in
// one place, so nothing is claimed. A new leader starts the items that have no
// result; an item may run more than once, its result is listed once.
package store
