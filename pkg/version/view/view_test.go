package view

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/plantainbank/plantainbank/pkg/version/record"
)

func rec(kind, name, spec string) record.Record {
	return record.Record{Kind: kind, Name: name, Schema: record.NewestSchema(kind), Spec: json.RawMessage(spec)}
}

func withdrawn(kind, name string) record.Record {
	return record.Record{Kind: kind, Name: name, Withdrawn: true}
}

func TestAuthenticate(t *testing.T) {
	const text = "pbk_k_secret"
	key := rec("key", "k", fmt.Sprintf(`{"workspace":"w","hash":%q}`, HashKey(text)))
	v := (&View{}).Update(1, true, []record.Record{rec("workspace", "w", `{"weight":1}`), key}, nil)
	for _, c := range []struct {
		text string
		ok   bool
	}{
		{text, true}, {"", false}, {"pbk_", false}, {"pbk_k", false}, {"pbk_k_", false}, {"pbk_k_secreT", false},
		{"pbk_other_secret", false}, {"k_secret", false}, {text + " ", false}, {"PBK_k_secret", false},
	} {
		if h, ok := v.Authenticate(c.text); ok != c.ok || (ok && h.Workspace != "w") {
			t.Errorf("%q: %v %+v", c.text, ok, h)
		}
	}
	h, _ := v.Authenticate(text)
	for name, next := range map[string]*View{
		"key withdrawn":       v.Update(2, false, []record.Record{withdrawn("key", "k")}, nil),
		"workspace withdrawn": v.Update(2, false, []record.Record{withdrawn("workspace", "w")}, nil),
		"key replaced":        v.Update(2, false, []record.Record{rec("key", "k", fmt.Sprintf(`{"workspace":"w","hash":%q}`, HashKey("pbk_k_new")))}, nil),
		"key moved":           v.Update(2, false, []record.Record{rec("workspace", "x", `{"weight":1}`), rec("key", "k", fmt.Sprintf(`{"workspace":"x","hash":%q}`, HashKey(text)))}, nil),
		"all replaced":        v.Update(2, true, nil, nil),
	} {
		if next.StillValid(h) {
			t.Errorf("%s: the principal is still valid", name)
		}
	}
	if !v.StillValid(h) {
		t.Error("Update changed the original view")
	}
}

func TestLongestRouteWins(t *testing.T) {
	v := (&View{}).Update(1, true, []record.Record{
		rec("route", "a", `{"prefix":"/a/","pool":"p","open":true}`),
		rec("route", "ab", `{"prefix":"/a/b/","pool":"q"}`),
	}, nil)
	for path, pool := range map[string]string{"/a/x": "p", "/a/b/x": "q", "/a/bx": "p", "/a": "", "/b/": ""} {
		if r, ok := v.Route(path); ok != (pool != "") || r.Pool != pool {
			t.Errorf("%s is routed to %q, want %q", path, r.Pool, pool)
		}
	}
}
