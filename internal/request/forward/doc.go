// Package forward forwards a request of a caller to a backend server and returns the
// response. It retries a request only where that is safe: idempotent requests after any
// failure, others only if they definitely were not executed. The response "not run" is
// given only if no attempt can have been executed.
package forward
