package caller

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"hash/maphash"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/plantainbank/plantainbank/pkg/connection/response"
	"github.com/plantainbank/plantainbank/pkg/request/attempt"
	"github.com/plantainbank/plantainbank/pkg/request/dispatch"
)

// Limits of a completion.
const (
	defaultTokens = 64
	maxTokens     = 1_000_000
	// prefixBytes is the length of the prompt prefix that selects the server which
	// has it cached.
	prefixBytes = 256
	// callerPriority is the priority of callers' requests, above that of rollouts.
	callerPriority = 1
	// streamBuffer is the number of tokens that are buffered for a slow caller.
	streamBuffer = 256
)

// completionRequest is the body of a completion request. Unknown fields are ignored,
// because clients of model servers send many fields that are not used here.
type completionRequest struct {
	Model     string    `json:"model"`
	Prompt    string    `json:"prompt"`
	Messages  []message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
	Seed      *uint64   `json:"seed"`
}

// message is a message of a chat.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// completion is a validated completion request.
type completion struct {
	id      string
	chat    bool
	model   string
	pool    string
	rollout string
	generation
	stream bool
}

type generation = dispatch.GenerationRequest

func newRequestID() string { return fmt.Sprintf("req-%016x", rand.Uint64()) }

// parseCompletion decodes a completion request and validates it against the
// configuration.
func (h *Handler) parseCompletion(ctx *fasthttp.RequestCtx, r *request) (*completion, error) {
	if !ctx.IsPost() {
		return nil, &response.Error{Status: http.StatusMethodNotAllowed, Code: response.CodeInvalid, Message: "use POST", Ran: attempt.RanNo}
	}
	var q completionRequest
	if err := json.Unmarshal(ctx.PostBody(), &q); err != nil {
		return nil, response.Invalid("body", "is not a completion request: "+err.Error())
	}
	c := &completion{id: newRequestID(), chat: strings.HasSuffix(string(ctx.Path()), "/chat/completions"),
		model: q.Model, pool: q.Model, stream: q.Stream}
	if spec, ok := r.view.Rollouts[q.Model]; ok && spec.Workspace == r.principal.Workspace {
		c.pool, c.rollout = spec.Pool, q.Model
	}
	c.Rollout, c.Prompt, c.Priority = c.rollout, q.Prompt, callerPriority
	if c.chat {
		c.Prompt = chatPrompt(q.Messages)
	}
	switch {
	case q.Model == "":
		return nil, response.Invalid("model", "is missing")
	case c.Prompt == "":
		return nil, response.Invalid(promptField(c.chat), "is missing or empty")
	case q.MaxTokens < 0 || q.MaxTokens > maxTokens:
		return nil, response.Invalid("max_tokens", fmt.Sprintf("must be 1 to %d", maxTokens))
	case h.cfg.PoolSize(c.pool) == 0:
		return nil, h.noServer(r, q.Model, c.pool)
	}
	c.generation.MaxTokens = q.MaxTokens
	if q.MaxTokens == 0 {
		c.generation.MaxTokens = defaultTokens
	}
	c.Seed = maphash.String(maphash.MakeSeed(), c.id)
	if q.Seed != nil {
		c.Seed = *q.Seed
	}
	return c, nil
}

// noServer returns the error for a model without servers: 503 if its pool is known,
// otherwise 404.
func (h *Handler) noServer(r *request, model, pool string) error {
	if r.view.KnowsPool(pool) {
		return &response.Error{Status: http.StatusServiceUnavailable, Code: response.CodeNoServer, Field: "model", RetryAfter: time.Second,
			Message: fmt.Sprintf("no backend server of the model %q is available now", model), Ran: attempt.RanNo}
	}
	return &response.Error{Status: http.StatusNotFound, Code: response.CodeNoModel, Field: "model",
		Message: fmt.Sprintf("no backend server serves the model %q", model), Ran: attempt.RanNo}
}

func promptField(chat bool) string {
	if chat {
		return "messages"
	}
	return "prompt"
}

func chatPrompt(messages []message) string {
	var b strings.Builder
	for _, m := range messages {
		fmt.Fprintf(&b, "%s: %s\n", m.Role, m.Content)
	}
	return b.String()
}

// completions serves completions, streamed or in one response.
func (h *Handler) completions(ctx *fasthttp.RequestCtx, r *request) {
	c, err := h.parseCompletion(ctx, r)
	if err != nil {
		r.end()
		response.WriteError(ctx, err)
		return
	}
	j := h.job(r, c.pool)
	j.Idempotent = true // a completion has no side effects
	j.Cost = float64(c.generation.MaxTokens)
	j.Requirement.Prefix = c.Prompt[:min(len(c.Prompt), prefixBytes)]
	if c.stream {
		h.stream(ctx, r, j, c)
		return
	}
	defer r.end()
	g, err := h.cfg.Dispatcher.Generate(r.ctx, j, c.generation)
	if err != nil {
		h.cfg.Scope.Counter("completion_errors").Inc(1)
		response.WriteError(ctx, err)
		return
	}
	response.Write(ctx, http.StatusOK, c.fullResponse(g))
}

// token is an element of a stream of tokens; err or result is set on the last one.
type token struct {
	text   string
	err    error
	result *dispatch.GenerationResult
}

// stream responds with server-sent events. It sends the status only when the first
// token arrives, so that a refusal is sent with its own status.
func (h *Handler) stream(ctx *fasthttp.RequestCtx, r *request, j *dispatch.Job, c *completion) {
	tokens := make(chan token, streamBuffer)
	c.OnToken = func(text string) error {
		select {
		case tokens <- token{text: text}:
			return nil
		case <-r.ctx.Done():
			return context.Cause(r.ctx)
		}
	}
	go func() {
		g, err := h.cfg.Dispatcher.Generate(r.ctx, j, c.generation)
		select {
		case tokens <- token{result: g, err: err}:
		case <-r.ctx.Done():
		}
		close(tokens)
	}()
	first, ok := <-tokens
	if !ok || first.err != nil {
		defer r.end()
		h.cfg.Scope.Counter("completion_errors").Inc(1)
		if first.err == nil {
			first.err = context.Cause(r.ctx)
		}
		response.WriteError(ctx, first.err)
		return
	}
	ctx.Response.Header.SetContentType("text/event-stream")
	ctx.Response.Header.Set("Cache-Control", "no-cache")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer r.end()
		h.writeTokens(w, r, c, first, tokens)
	})
}

// writeTokens writes the events of a stream. The stream ends with "[DONE]" only if the
// response is complete.
func (h *Handler) writeTokens(w *bufio.Writer, r *request, c *completion, t token, tokens <-chan token) {
	for ok := true; ok; t, ok = <-tokens {
		if t.err != nil {
			writeEvent(w, response.ErrorBody(t.err))
			return
		}
		if t.result != nil {
			writeEvent(w, c.chunk("", t.result.Reason))
			fmt.Fprint(w, "data: [DONE]\n\n")
			w.Flush()
			return
		}
		writeEvent(w, c.chunk(t.text, ""))
		if w.Flush() != nil {
			return // the caller disconnected; r.end cancels the generation
		}
	}
	writeEvent(w, response.ErrorBody(context.Cause(r.ctx)))
}

func writeEvent(w *bufio.Writer, data []byte) {
	fmt.Fprintf(w, "data: %s\n\n", data)
	w.Flush()
}

// choice is an element of choices in a completion response.
type choice struct {
	Index   int      `json:"index"`
	Text    *string  `json:"text,omitempty"`
	Message *message `json:"message,omitempty"`
	Delta   *delta   `json:"delta,omitempty"`
	Reason  *string  `json:"finish_reason"`
}

// delta is the increment of a chat message in a chunk of a stream.
type delta struct {
	Content string `json:"content"`
}

// completionResponse is a full response or a chunk of a stream.
type completionResponse struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

func (c *completion) newResponse(object string, x choice) completionResponse {
	return completionResponse{ID: c.id, Object: object, Created: time.Now().Unix(), Model: c.model, Choices: []choice{x}}
}

func (c *completion) fullResponse(g *dispatch.GenerationResult) completionResponse {
	x := choice{Reason: &g.Reason}
	object := "text_completion"
	if c.chat {
		object = "chat.completion"
		x.Message = &message{Role: "assistant", Content: g.Text}
	} else {
		x.Text = &g.Text
	}
	out := c.newResponse(object, x)
	out.Usage = &usage{CompletionTokens: g.Tokens}
	return out
}

func (c *completion) chunk(text, reason string) []byte {
	x := choice{}
	if reason != "" {
		x.Reason = &reason
	}
	object := "text_completion"
	if c.chat {
		object = "chat.completion.chunk"
		x.Delta = &delta{Content: text}
	} else {
		x.Text = &text
	}
	data, _ := json.Marshal(c.newResponse(object, x)) // encoding this struct cannot fail
	return data
}
