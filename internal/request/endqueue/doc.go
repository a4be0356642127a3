// Package endqueue decides when the ends of batches that could not be delivered are sent again.
// It does no I/O.
//
// Load pattern: the store group loses its leader for one to a few seconds, and the trainers of
// all models end their steps meanwhile. A call that fails says something about the group, not
// about its batch, so while calls fail a single one is sent at a time, with increasing delays.
// After the first that succeeds all others follow at once: their items occupy engines until the
// leader knows of the end.
package endqueue
