// Package feed maintains a host's copy of the control state: the catalog, the roster of
// backend servers and the members of the store group. It keeps one long poll open at the
// leader, and tries another control process when no answer comes. The copy never goes
// back to an older revision, and stays in use while no control process answers.
package feed
