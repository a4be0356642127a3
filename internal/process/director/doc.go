// Package director implements the control process of a site: a replica of the catalog
// and, on the leader, the roster of backend servers and the tasks that only one process
// at a time may run.
//
// The goroutine of the quorum node, called the control goroutine, owns all control
// state; calls run on it through Server.do. A leader's state beyond the catalog is its
// leadership, which starts with a fencing token from the log and issues no orders until
// the previous holder can no longer act.
//
// The leader serves operators, trainers and backend servers; the other processes answer
// with the leader's address. Each host of the site keeps one long poll open at the
// leader, so changes reach it at once and the leader notices when a host is gone.
package director
