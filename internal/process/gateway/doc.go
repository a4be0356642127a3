// Package gateway implements the entry process of a site: it routes callers' requests to
// backend servers using its copy of the configuration, and forwards calls about batches
// to the leader of the store group. It has no durable state, and continues with the last
// known configuration while control is unreachable.
package gateway
