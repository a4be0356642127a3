// Package history tells the story of one id from the log lines of many
// processes. It does no input or output beyond reading lines.
//
// A line belongs to the story if a field of it is the id. The lines that decided
// it often name something else: the host that answered, the instance that a run
// broke at, the leader that changed meanwhile. So a story has, beside the lines
// with the id, those in its span of time with which a host of the story, or a
// leader, changed what it believed, and those about the instances that it names.
package history
