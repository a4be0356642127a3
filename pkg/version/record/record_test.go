package record

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"github.com/plantainbank/plantainbank/pkg/version/strictjson"
)

const hash = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"

func TestCheckNamesTheField(t *testing.T) {
	for _, c := range []struct {
		kind, name string
		schema     int
		spec       string
		field      string
	}{
		{KindWorkspace, "w", 2, `{"weight":1}`, ""},
		{KindWorkspace, "w", 1, `{"share":3}`, ""},
		{KindZone, "z", 1, `{"out":true}`, ""},
		{KindKey, "k", 1, `{"workspace":"w","hash":"` + hash + `"}`, ""},
		{KindRoute, "r", 1, `{"prefix":"/a/","pool":"p"}`, ""},
		{KindRollout, "r", 1, `{"workspace":"w","pool":"p","tokens":9}`, ""},
		{"house", "w", 1, `{}`, "kind"},
		{KindWorkspace, "Upper", 2, `{"weight":1}`, "name"},
		{KindWorkspace, "w", 3, `{"weight":1}`, "schema"},
		{KindWorkspace, "w", 0, `{"weight":1}`, "schema"},
		{KindWorkspace, "w", 2, `{"weight":0}`, "weight"},
		{KindWorkspace, "w", 1, `{"share":0}`, "weight"},
		{KindWorkspace, "w", 1, `{"weight":1}`, "weight"},
		{KindKey, "k", 1, `{"workspace":"w","hash":"short"}`, "hash"},
		{KindZone, "z", 2, `{"state":"maybe"}`, "state"},
		{KindZone, "z", 2, `{"state":"in","least":{"p":3},"most":{"p":2}}`, "least.p"},
		{KindRoute, "r", 1, `{"prefix":"a","pool":"p"}`, "prefix"},
		{KindRoute, "r", 1, `{"prefix":"/v1/x/","pool":"p"}`, "prefix"},
		{KindRoute, "r", 1, `{"prefix":"/a/","pool":"p","idempotent":["get"]}`, "idempotent"},
		{KindRollout, "r", 1, `{"workspace":"w","pool":"p","tokens":0}`, "tokens"},
	} {
		err := Check(Record{Kind: c.kind, Name: c.name, Schema: c.schema, Spec: json.RawMessage(c.spec)})
		var field *strictjson.FieldError
		if c.field == "" && err != nil {
			t.Errorf("%s %s: %v", c.kind, c.spec, err)
		}
		if c.field != "" && (!errors.As(err, &field) || field.Field != c.field) {
			t.Errorf("%s %s schema %d: %v, want field %q", c.kind, c.spec, c.schema, err, c.field)
		}
	}
}

// FuzzCheck checks arbitrary records: Check must not panic, and records that it
// accepts must convert to the newest schema.
func FuzzCheck(f *testing.F) {
	f.Add(KindWorkspace, 1, `{"share":2}`)
	f.Add(KindZone, 2, `{"state":"in","most":{"p":1}}`)
	f.Add(KindRoute, 1, `{"prefix":"/a/","pool":"p"}`)
	f.Add(KindKey, 9, `[]`)
	f.Fuzz(func(t *testing.T, kind string, schema int, spec string) {
		r := Record{Kind: kind, Name: "n", Schema: schema, Spec: json.RawMessage(spec)}
		if Check(r) != nil {
			return
		}
		raw, err := Convert(r, NewestSchema(kind))
		if err != nil || strings.TrimSpace(string(raw)) == "" {
			t.Fatalf("accepted %s %d %s, but: %v", kind, schema, spec, err)
		}
	})
}
