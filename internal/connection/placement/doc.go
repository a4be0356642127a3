// Package placement decides which backend server gets a request. It does no input
// or output.
//
// Load patterns: servers differ in speed and some turn slow; some go dark or
// fail a part of their requests; cold ones bear few requests a second, summed
// over all hosts; items of one group share a prompt that stays in the memory
// of the server that read it; a new connection costs more than a used one.
//
// A server's cost is its load times its pace against the others. The server
// with the least cost gets the request, except that a preferred server keeps
// it while its cost is close. A server whose connection broke rests, longer
// each time, and comes back with one request at a time. Weighed and left out:
// drawing two servers at random, since one process places all the items of a
// site and knows every load; health checks, since each costs a probe and
// outcomes tell more.
package placement
