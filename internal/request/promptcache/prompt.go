package promptcache

import (
	"fmt"
	"hash/maphash"
	"strconv"
	"strings"
)

// Bounds of the prompts that Parse accepts. A prompt of the current sites has two or three parts.
const (
	maxParts      = 16
	maxPartTokens = 1 << 24
)

// seed is the seed of the part hashes, which never leave the process.
var seed = maphash.MakeSeed()

// Part is a part of a prompt.
type Part struct {
	// ID is a hash of the part's ID.
	ID     uint64
	Tokens int
}

// Prompt lists the parts of a prompt in order. The last part belongs to one request only.
type Prompt []Part

// FormatError describes a list of parts that is not valid.
type FormatError struct{ Value, Problem string }

func (e *FormatError) Error() string {
	return fmt.Sprintf("prompt parts %.80q: %s", e.Value, e.Problem)
}

// Parse reads a comma-separated list of parts in the form ID:TOKENS.
func Parse(value string) (Prompt, error) {
	fields := strings.Split(value, ",")
	if len(fields) > maxParts {
		return nil, &FormatError{value, fmt.Sprintf("has more than %d parts", maxParts)}
	}
	p := make(Prompt, 0, len(fields))
	for _, field := range fields {
		id, count, found := strings.Cut(strings.TrimSpace(field), ":")
		tokens, err := strconv.Atoi(count)
		if !found || id == "" || err != nil || tokens <= 0 || tokens > maxPartTokens {
			return nil, &FormatError{value, "a part is not ID:TOKENS"}
		}
		p = append(p, Part{ID: maphash.String(seed, strings.ToLower(id)), Tokens: tokens})
	}
	return p, nil
}

// Shared returns the parts that other requests may have too.
func (p Prompt) Shared() Prompt { return p[:max(0, len(p)-1)] }

// Tokens returns the number of tokens of all parts.
func (p Prompt) Tokens() int {
	n := 0
	for _, x := range p {
		n += x.Tokens
	}
	return n
}
