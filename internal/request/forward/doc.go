// Package forward carries one request of a caller to a backend server and the
// answer back. It repeats a request only where that is allowed: idempotent
// ones after any failure, others only if they surely did not run. The answer
// "not run" is given only if no attempt may have run.
package forward
