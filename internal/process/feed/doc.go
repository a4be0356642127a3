// Package feed keeps a host's copy of what control decides: the catalog, the
// roster of backend servers and the store group. It asks the leader with one
// long poll at a time, and moves on to another control process when no answer
// comes. The copy never goes back to an older revision, and stays in use while
// no control process answers.
package feed
