package attempt

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/valyala/fasthttp"
)

// Generation asks an engine for tokens.
type GenerationRequest struct {
	// Request comes back in every event, so that a crossed answer is seen.
	Request string `json:"request"`
	// Rollout names the adapter; empty means the base model.
	Rollout string `json:"rollout,omitempty"`
	Prompt  string `json:"prompt"`
	// Prefix is what was generated before, for a resumed stream.
	Prefix string `json:"prefix,omitempty"`
	// Offset is the number of tokens in Prefix.
	Offset    int    `json:"offset,omitempty"`
	MaxTokens int    `json:"tokens"`
	Seed      uint64 `json:"seed"`
	Priority  int    `json:"priority,omitempty"`
}

// Event is one event of an engine's stream.
type Event struct {
	Request string `json:"request"`
	// Index is the token's offset in the whole generation.
	Index int    `json:"index"`
	Text  string `json:"text,omitempty"`
	// Version is the weight version that produced the token; nil if the
	// engine does not say.
	Version *uint64 `json:"version,omitempty"`
	// Done marks the terminal event.
	Done   bool   `json:"done,omitempty"`
	Reason string `json:"reason,omitempty"`
}

// BusyError reports that a backend server turned a request away for its load.
// The request was not run.
type BusyError struct{ Status int }

func (e *BusyError) Error() string { return fmt.Sprintf("backend server answered %d", e.Status) }

// IncarnationHeader names, in every request, the only start of a server that
// may run it. Any other start answers 421 and does not run the request.
const IncarnationHeader = "Expect-Incarnation"

// MisdirectedError reports that another start of the server has the address.
// The request was not run.
type MisdirectedError struct{}

func (e *MisdirectedError) Error() string { return "another start of the server has the address" }

// CrossedError reports an event that belongs to another request.
type RequestMismatchError struct{ Want, Got string }

func (e *RequestMismatchError) Error() string {
	return fmt.Sprintf("answer for request %q came to request %q", e.Got, e.Want)
}

// errCut reports a stream that ended without its terminal event.
var errTruncatedStream = errors.New("the stream ended without its terminal event")

// Limits on an engine's stream.
const (
	// eventMost is the longest event in bytes.
	maxEventBytes = 1 << 20
	// tokenIdleTimeout is the longest time without a token.
	tokenIdleTimeout = 5 * time.Second
)

// Generate sends g to an engine and hands every token to take. It returns the
// reason of the terminal event. Unless the error is an *Error with Ran "no",
// tokens may have been produced.
func (c *Client) Generate(ctx context.Context, addr string, g GenerationRequest, header map[string]string, onToken func(Event) error) (reason string, err error) {
	body, err := json.Marshal(g)
	if err != nil {
		return "", &Error{Phase: "send", Ran: RanNo, Err: err}
	}
	req := &fasthttp.Request{}
	req.Header.SetMethod(http.MethodPost)
	req.SetRequestURI("http://" + addr + "/generate")
	req.Header.SetContentType("application/json")
	for k, v := range header {
		req.Header.Set(k, v)
	}
	req.SetBodyRaw(body)
	a, err := c.Do(ctx, addr, req, Options{Stream: true, IdleTimeout: tokenIdleTimeout})
	if err != nil {
		return "", err
	}
	if status := a.Response.StatusCode(); status != http.StatusOK {
		a.Close(false)
		return "", statusError(status)
	}
	reason, err = readEvents(a.Body, g, onToken)
	complete := err == nil && atEOF(a.Body)
	a.Close(complete)
	if err != nil {
		return "", withCause(ctx, &Error{Phase: "answer", Ran: RanYes, Broken: broken(err), Err: err})
	}
	return reason, nil
}

// drained reports whether nothing follows the terminal event.
func atEOF(r io.Reader) bool {
	n, err := r.Read(make([]byte, 1))
	return n == 0 && errors.Is(err, io.EOF)
}

func statusError(status int) error {
	if status == http.StatusMisdirectedRequest {
		return &Error{Phase: "answer", Ran: RanNo, Broken: true, Err: &MisdirectedError{}}
	}
	busy := &BusyError{Status: status}
	if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
		return &Error{Phase: "answer", Ran: RanNo, Err: busy}
	}
	return &Error{Phase: "answer", Ran: RanYes, Err: busy}
}

// readEvents reads server-sent events up to the terminal one.
func readEvents(r io.Reader, g GenerationRequest, onToken func(Event) error) (reason string, err error) {
	sc := bufio.NewScanner(r)
	sc.Buffer(make([]byte, 0, 4096), maxEventBytes)
	next := g.Offset
	for sc.Scan() {
		data, ok := bytes.CutPrefix(sc.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		var e Event
		if err := json.Unmarshal(data, &e); err != nil {
			return "", err
		}
		if e.Request != g.Request {
			return "", &RequestMismatchError{Want: g.Request, Got: e.Request}
		}
		if e.Done {
			return e.Reason, nil
		}
		if e.Index != next {
			return "", fmt.Errorf("token %d came in place of token %d", e.Index, next)
		}
		next++
		if err := onToken(e); err != nil {
			return "", err
		}
	}
	if err := sc.Err(); err != nil {
		return "", err
	}
	return "", errTruncatedStream
}
