package strictjson

import (
	"errors"
	"testing"
)

type inner struct {
	Port int `json:"port"`
}

type outer struct {
	Name   string `json:"name"`
	Listen inner  `json:"listen"`
}

func TestDecode(t *testing.T) {
	for _, c := range []struct{ text, field, hint string }{
		{`{"name":"n","listen":{"port":1}}`, "", ""},
		{`{"nmae":"n"}`, "nmae", "name"},
		{`{"listen":{"prot":1}}`, "prot", "port"},
		{`{"listen":{"port":"x"}}`, "listen.port", ""},
		{`{"zzzzzz":1}`, "zzzzzz", ""},
	} {
		var o outer
		err := Decode([]byte(c.text), &o)
		var field *FieldError
		switch {
		case c.field == "" && err != nil:
			t.Errorf("%s: %v", c.text, err)
		case c.field != "" && (!errors.As(err, &field) || field.Field != c.field || field.Hint != c.hint):
			t.Errorf("%s: %v", c.text, err)
		}
	}
	var syntax *SyntaxError
	for _, text := range []string{``, `{`, `{"name":"n"} x`} {
		if err := Decode([]byte(text), &outer{}); !errors.As(err, &syntax) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

// FuzzDecodeCommented decodes arbitrary text: it must not panic.
func FuzzDecodeCommented(f *testing.F) {
	f.Add([]byte("// note\n{\"name\": \"n\",}"))
	f.Add([]byte(`{"listen": {"port": 1e99}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		_ = DecodeCommented(data, &outer{})
	})
}
