// Package batch is the replicated state of batches: what was handed in, which
// results stand at which positions, and what has ended. It does no input or
// output.
//
// A batch is accepted once. Results are listed in the order of the log, so a
// position and its content are the same on every replica and never change.
// The body of an item is dropped once the item is listed or its batch ended.
package batch
