// Package forward forwards a request of a caller to a backend server and returns the
// answer. It retries a request only where that is safe: idempotent requests after any
// failure, others only if they certainly were not executed. The answer "not run" is given
// only if no attempt can have been executed.
package forward
