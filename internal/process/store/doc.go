// Package store implements the store process of a site. It holds a replica of the
// batches; on the leader of the group, the driver also runs their items on engines.
//
// A batch is accepted, and a result becomes readable, once it is synced to disk on a
// majority of the group. Control bootstraps the group once; after that the group repairs
// its membership by itself. Only the leader runs items, so state and decisions are in one
// place and items need no claims. A new leader starts the items that have no result: an
// item may run more than once, but only one result of it is committed.
package store
