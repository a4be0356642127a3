// Package director is the control process of a site: a replica of the catalog,
// and on the leader the roster of backend servers and the duties that one
// process at a time may carry out.
//
// All control state belongs to the goroutine of the replicated log. Calls run
// on it through Server.do. What a leader knows beyond the catalog lives in its
// office: it opens with a fencing token from the log, and gives no order until
// a former holder can no longer act.
//
// The leader answers operators, trainers and backend servers; the others name
// the leader. Hosts of the site hold one long poll at the leader, so a change
// reaches them at once, and the process that carries it notices when they are
// gone.
package director
