// Package routing is one version of the routing configuration: routes,
// services, workspaces and limits, and the questions that a request asks of
// it. It does no input or output.
//
// Routes names hosts and path prefixes. The route of a request is the one with
// the longest prefix among the routes of its host. A route sends requests to
// services by weight. A workspace holds keys; a request runs only for the
// workspace that holds its key, unless its route is public.
package routing
