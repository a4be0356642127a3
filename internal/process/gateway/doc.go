// Package gateway is the entry process of a site: it routes callers' requests
// to backend servers by its copy of the configuration, and passes the calls
// about batches to the leader of the store group. It holds nothing that must
// survive it, and goes on with the last known configuration while control can
// not be reached.
package gateway
