// Package batch implements the replicated state machine of batches: which batches were
// submitted, their results in order, and which batches have ended. It does no I/O.
//
// A batch is accepted once. Results are appended in log order, so a position and its
// content are the same on every replica and never change. The body of an item is dropped
// once the item has a result or its batch has ended.
package batch
