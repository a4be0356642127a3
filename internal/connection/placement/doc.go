// Package placement decides which backend server gets a request. It does no I/O.
//
// It is built for these load patterns: servers differ in speed, and some become
// slow; some stop responding or fail some of their requests; a cold server
// accepts only a few requests per second, summed over all hosts, and a server in need
// names such a limit at any time; servers of several software versions serve side by
// side, and what one has begun must not go on at another version; items of one
// group share a prompt, which stays in the cache of the server that processed it;
// opening a connection costs more than reusing one.
//
// The cost of a server is its load multiplied by its pace relative to the other
// servers. The server with the lowest cost gets the request, but a preferred
// server gets it as long as its cost is close to the lowest. A server that fails
// enters a cooldown, which grows with each failure, and returns with one request at
// a time.
//
// Two alternatives are not used. Choosing the better of two random servers has no
// benefit, because one process places all items of a site and knows every load.
// Health checks cost a probe each and report less than the outcomes of requests.
package placement
