// Package history builds the timeline of one ID from the log lines of many processes. It
// does no I/O beyond reading lines.
//
// A line belongs to the timeline if one of its fields is the ID. Often the cause is in
// lines that name something else: the host that answered, the instance at which a run
// failed, the leader that changed meanwhile. So the timeline also has lines from the same
// span of time: state changes of a leader or of a host in the timeline, and lines about
// the instances that it names.
package history
