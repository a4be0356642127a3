// Package roster is the table of backend server instances, built from their
// announcements. It does no I/O.
//
// Load pattern: announcements arrive late, duplicated and out of order; an address is
// reused by another instance; an instance restarts under its name with its sequence
// numbers starting again. An announcement is accepted only if it is newer than the
// current entry, by start time and then by sequence number. An instance that has left
// stays gone for as long as a late announcement of it may arrive.
package roster
