// Package roster is the table of backend server instances, as they announce
// themselves. It does no input or output.
//
// Load pattern: announcements arrive late, twice and out of order; an address
// is used again by another instance; an instance comes back under its name
// with its counts starting anew. An announcement counts only if it is newer
// than what is held, by start time and then by number, and an instance that
// has left stays gone for as long as a late announcement of it may arrive.
package roster
