// Package fairshare counts the service that flows have received, and picks the flow that is to be served next. It
// does no I/O.
//
// Load pattern: all trainers submit a step at the same moment, every few seconds, and together more than can be
// complete in time. One of them has items that take twice as long, or submits five times as much. A trainer that
// waits for its step submits nothing meanwhile, and its capacity is lent to the others.
//
// Service is engine time, counted when an item starts, and decays over a few steps. Among the flows of a service the
// one with the least service is next, as in fair queueing (Demers, Keshav and Shenker 1989), so that a flow with little demand is served
// whole and the others divide the rest evenly. A flow that comes back gets its share at once and catches up on a bounded part
// of what was lent: its count is raised to a bounded distance below the others', as in start-time fair queueing.
//
// Rejected alternative: equal numbers of items or groups. A trainer with long items then takes most of the engine
// time, and the groups of the others are late.
package fairshare
