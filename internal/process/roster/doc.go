// Package roster is the table of backend server instances, built from their
// announcements. It does no I/O.
//
// Load pattern: announcements arrive late, duplicated and out of order; an address is
// reused by another instance; an instance restarts under its name with its sequence
// numbers starting again; another writer announces an ID or an address that is not its own,
// or a departure. An announcement of the instance in force is accepted by its sequence number. Any
// other is a claim: who holds the ID and the address is decided by who goes on to announce itself
// (yields), not by start times, which anyone can name and which clocks make differ. An instance that
// has left stays gone for as long as a late announcement of it may arrive.
package roster
