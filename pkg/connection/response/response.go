// Package response writes the HTTP responses of the entry host to its callers, in one
// JSON form for values and one for errors.
package response

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/plantainbank/plantainbank/pkg/process/leader"
	"github.com/plantainbank/plantainbank/pkg/request/attempt"
	"github.com/plantainbank/plantainbank/pkg/request/queue"
	"github.com/plantainbank/plantainbank/pkg/version/strictjson"
)

// Error is an error that is sent to callers.
type Error struct {
	Status int `json:"-"`
	// Code does not change between releases; docs/API.md lists all codes.
	Code    string `json:"code"`
	Message string `json:"message"`
	// Field is the invalid field of the request, if there is one.
	Field string `json:"field,omitempty"`
	// Ran reports whether the request was run.
	Ran attempt.Ran `json:"ran"`
	// RetryAfter is sent in the header Retry-After if it is positive.
	RetryAfter time.Duration `json:"-"`
}

func (e *Error) Error() string { return e.Code + ": " + e.Message }

// Error codes.
const (
	CodeInvalid        = "invalid_request"
	CodeKeyMissing     = "key_missing"
	CodeKeyRefused     = "key_refused"
	CodeKeyMisplaced   = "key_misplaced"
	CodeNoRoute        = "no_such_route"
	CodeNoModel        = "no_such_model"
	CodeNoServer       = "no_backend_server"
	CodeNoStep         = "no_such_step"
	CodeConflict       = "conflict"
	CodeOverloaded     = "overloaded"
	CodeNoConfig       = "no_configuration"
	CodeBackendFailed  = "backend_failed"
	CodeWithdrawn      = "key_withdrawn"
	CodeOutcomeUnknown = "outcome_unknown"
	CodeForbidden      = "forbidden"
)

// Invalid returns an error for an invalid field of a request that was not run.
func Invalid(field, message string) *Error {
	return &Error{Status: http.StatusBadRequest, Code: CodeInvalid, Field: field,
		Message: fmt.Sprintf("field %q %s", field, message), Ran: attempt.RanNo}
}

// NoConfig returns the error of a host without a valid lease.
func NoConfig() *Error {
	return &Error{Status: http.StatusServiceUnavailable, Code: CodeNoConfig, RetryAfter: time.Second,
		Message: "this host has no valid configuration now; the request was not run", Ran: attempt.RanNo}
}

// ErrKeyWithdrawn is the cause of a context that was canceled because its key was
// withdrawn or can no longer be checked.
var ErrKeyWithdrawn = &Error{Status: http.StatusUnauthorized, Code: CodeWithdrawn, Ran: attempt.RanYes,
	Message: "the key was withdrawn, or its validity can not be checked any more"}

// FromError converts an error into one that is sent to callers.
func FromError(err error) *Error {
	var e *Error
	var a *attempt.Error
	switch {
	case errors.As(err, &a):
		return fromAttempt(a)
	case errors.As(err, &e):
		return e
	}
	if e := fromDecode(err); e != nil {
		return e
	}
	var u *leader.UnreachableError
	if errors.As(err, &u) {
		return &Error{Status: http.StatusServiceUnavailable, Code: CodeOutcomeUnknown, RetryAfter: time.Second,
			Message: "no control leader answered; ask again with the same content", Ran: attempt.RanUnknown}
	}
	return &Error{Status: http.StatusBadGateway, Code: CodeBackendFailed, Message: "the request failed", Ran: attempt.RanUnknown}
}

func fromDecode(err error) *Error {
	var f *strictjson.FieldError
	var s *strictjson.SyntaxError
	switch {
	case errors.As(err, &f):
		return &Error{Status: http.StatusBadRequest, Code: CodeInvalid, Field: f.Field, Message: f.Error(), Ran: attempt.RanNo}
	case errors.As(err, &s):
		return &Error{Status: http.StatusBadRequest, Code: CodeInvalid, Message: s.Error(), Ran: attempt.RanNo}
	}
	return nil
}

func fromAttempt(a *attempt.Error) *Error {
	var q *queue.RefusedError
	var e *Error
	switch {
	case errors.As(a.Err, &e):
		out := *e
		out.Ran = a.Ran
		return &out
	case errors.As(a.Err, &q) && q.Reason == queue.ReasonStopped:
		out := NoConfig()
		out.Ran = a.Ran
		return out
	case errors.As(a.Err, &q):
		return &Error{Status: http.StatusTooManyRequests, Code: CodeOverloaded, Ran: a.Ran, RetryAfter: q.RetryAfter,
			Message: "the backend servers have no room in time: " + q.Reason}
	}
	return &Error{Status: http.StatusBadGateway, Code: CodeBackendFailed, Ran: a.Ran,
		Message: "the backend server gave no whole answer in phase " + a.Phase}
}

// envelope is the JSON form of an error.
type envelope struct {
	Error *Error `json:"error"`
}

// WriteError responds with an error.
func WriteError(ctx *fasthttp.RequestCtx, err error) {
	e := FromError(err)
	if e.RetryAfter > 0 {
		ctx.Response.Header.Set("Retry-After", strconv.Itoa(queue.RetryAfterSeconds(e.RetryAfter)))
	}
	Write(ctx, e.Status, envelope{e})
}

// ErrorBody returns the JSON form of an error, for use in a stream.
func ErrorBody(err error) []byte {
	data, _ := json.Marshal(envelope{FromError(err)}) // encoding this struct cannot fail
	return data
}

// Write responds with a value.
func Write(ctx *fasthttp.RequestCtx, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		status, data = http.StatusInternalServerError, []byte(`{}`)
	}
	ctx.Response.SetStatusCode(status)
	ctx.Response.Header.SetContentType("application/json")
	ctx.Response.SetBodyRaw(append(data, '\n'))
}
