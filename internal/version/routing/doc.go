// Package routing defines the routing configuration (routes, services, workspaces
// and limits), its validation, and the lookups that requests need. It does no I/O.
//
// A route matches a host and a path prefix. The route of a request is the one with
// the longest prefix among the routes of its host. A route sends requests to
// services by weight. A workspace has keys; a request runs only for the workspace
// of its key, unless its route is public.
package routing
