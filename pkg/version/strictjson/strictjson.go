// Package strictjson decodes JSON into structs. It rejects unknown fields and
// suggests the field that was probably meant.
package strictjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"slices"
	"strings"

	"github.com/tailscale/hujson"
)

// FieldError reports an invalid field.
type FieldError struct {
	// Field is the path of the field, such as "listen.callers".
	Field string
	// Problem describes the fault, as a phrase that follows the field's name.
	Problem string
	// Allowed lists the accepted values, if there are only a few.
	Allowed []string
	// Hint is the name or value that was probably meant, or empty.
	Hint string
}

func (e *FieldError) Error() string {
	text := fmt.Sprintf("field %q %s", e.Field, e.Problem)
	if e.Hint != "" {
		text += fmt.Sprintf(", did you mean %q?", e.Hint)
	}
	if len(e.Allowed) > 0 {
		text += "; allowed: " + strings.Join(e.Allowed, ", ")
	}
	return text
}

// SyntaxError reports text that is not valid JSON.
type SyntaxError struct{ Reason string }

func (e *SyntaxError) Error() string { return "not valid JSON: " + e.Reason }

// DecodeCommented decodes JSON with comments and trailing commas.
func DecodeCommented(data []byte, into any) error {
	plain, err := hujson.Standardize(bytes.Clone(data))
	if err != nil {
		return &SyntaxError{Reason: strings.TrimPrefix(err.Error(), "hujson: ")}
	}
	return Decode(plain, into)
}

// Decode decodes one JSON value into the struct that into points to. The error
// is a *FieldError or a *SyntaxError.
func Decode(data []byte, into any) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return translateError(err, into)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return &SyntaxError{Reason: "text after the value"}
	}
	return nil
}

func translateError(err error, into any) error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return &FieldError{Field: typeErr.Field, Problem: fmt.Sprintf("must be %s, not %s", jsonTypeName(typeErr.Type), typeErr.Value)}
	}
	var field *FieldError
	if errors.As(err, &field) {
		return field
	}
	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		name = strings.Trim(name, `"`)
		names := fieldNames(reflect.TypeOf(into), nil)
		return &FieldError{Field: name, Problem: "is unknown", Hint: closestName(name, names)}
	}
	return &SyntaxError{Reason: strings.TrimPrefix(err.Error(), "json: ")}
}

// jsonTypeName describes the JSON form of a Go type, for error messages.
func jsonTypeName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Slice:
		return "a list"
	case reflect.Struct, reflect.Map:
		return "an object"
	default:
		return "a number"
	}
}

// fieldNames appends the JSON field names of a struct and of its nested structs to
// names.
func fieldNames(t reflect.Type, names []string) []string {
	for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice {
		t = t.Elem()
	}
	if t.Kind() != reflect.Struct {
		return names
	}
	for f := range t.Fields() {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if name != "" && name != "-" {
			names = append(names, name)
		}
		names = fieldNames(f.Type, names)
	}
	return names
}

// closestName returns the name at the smallest edit distance. It returns an empty
// string if all are further than max(2, half the length of name) away.
func closestName(name string, names []string) string {
	best, bestDistance := "", max(2, len(name)/2)+1
	for _, n := range names {
		if d := editDistance(strings.ToLower(name), n); d < bestDistance {
			best, bestDistance = n, d
		}
	}
	return best
}

// editDistance returns the Levenshtein distance.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := diagonal
			if a[i] != b[j] {
				cost = 1 + min(diagonal, row[j], row[j+1])
			}
			diagonal, row[j+1] = row[j+1], cost
		}
	}
	return row[len(b)]
}

// OneOf returns a *FieldError unless value is one of the allowed values.
func OneOf(field, value string, allowed ...string) error {
	if slices.Contains(allowed, value) {
		return nil
	}
	return &FieldError{Field: field, Problem: fmt.Sprintf("has the value %q", value),
		Allowed: allowed, Hint: closestName(value, allowed)}
}

// Require returns a *FieldError unless ok is true.
func Require(field string, ok bool, problem string) error {
	if ok {
		return nil
	}
	return &FieldError{Field: field, Problem: problem}
}

// First returns the first non-nil error.
func First(all ...error) error {
	for _, err := range all {
		if err != nil {
			return err
		}
	}
	return nil
}
