// Package quarantine decides which requests are no longer sent to backend servers because
// servers ended while they ran them.
//
// A retry limit holds within one caller attempt at one process. A request that crashes the
// servers that run it comes again as a new attempt, with a new ID and at another host, so
// what is counted here follows the content of the request: its Fingerprint.
package quarantine
