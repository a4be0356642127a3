package review

import (
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/plantainbank/plantainbank/internal/version/routing"
)

// Change is a difference between two configurations.
type Change struct {
	// Section is routes, services, workspaces or limits.
	Section string `json:"section"`
	// Entry identifies the entry of a list.
	Entry string `json:"entry,omitempty"`
	// Field is empty if the whole entry was added or removed.
	Field string `json:"field,omitempty"`
	// Before is empty for an added entry, After for a removed one.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// whole is the value of an added or removed entry.
const whole = "present"

// Changes returns what differs between two configurations, apart from the version. Routes are
// identified by host and prefix, which are unique, other entries by name; their order has no meaning to requests.
func Changes(before, after *routing.Config) []Change {
	out := diff("routes", before.Routes, after.Routes, routeKey, routeLabels(before, after))
	service := func(s routing.Service) string { return s.Name }
	out = append(out, diff("services", before.Services, after.Services, service, service)...)
	workspace := func(w routing.Workspace) string { return w.Name }
	out = append(out, diff("workspaces", before.Workspaces, after.Workspaces, workspace, workspace)...)
	return append(out, fields("limits", "", reflect.ValueOf(before.Limits), reflect.ValueOf(after.Limits))...)
}

func routeKey(r routing.Route) string { return r.Host + r.Prefix }

// routeLabels returns how the routes of two configurations are called: by their name if it is that of one
// route only, else by host and prefix.
func routeLabels(before, after *routing.Config) func(routing.Route) string {
	keys := map[string]map[string]bool{"": {}}
	for _, r := range slices.Concat(before.Routes, after.Routes) {
		if keys[r.Name] == nil {
			keys[r.Name] = map[string]bool{}
		}
		keys[r.Name][routeKey(r)] = true
	}
	return func(r routing.Route) string {
		if r.Name == "" || len(keys[r.Name]) > 1 {
			return routeKey(r)
		}
		return r.Name
	}
}

// diff compares the entries of two lists. Entries of the same key are paired in their order.
func diff[T any](section string, before, after []T, key, label func(T) string) (out []Change) {
	rest := slices.Clone(before)
	for _, a := range after {
		i := slices.IndexFunc(rest, func(b T) bool { return key(b) == key(a) })
		if i < 0 {
			out = append(out, Change{Section: section, Entry: label(a), After: whole})
			continue
		}
		out = append(out, fields(section, label(a), reflect.ValueOf(rest[i]), reflect.ValueOf(a))...)
		rest = slices.Delete(rest, i, i+1)
	}
	for _, b := range rest {
		out = append(out, Change{Section: section, Entry: label(b), Before: whole})
	}
	return out
}

// fields compares the fields of two structs of the same type.
func fields(section, entry string, before, after reflect.Value) (out []Change) {
	for i := range before.NumField() {
		b, a := before.Field(i), after.Field(i)
		if reflect.DeepEqual(b.Interface(), a.Interface()) || b.Kind() == reflect.Slice && b.Len()+a.Len() == 0 {
			continue
		}
		name, _, _ := strings.Cut(before.Type().Field(i).Tag.Get("json"), ",")
		c := Change{Section: section, Entry: entry, Field: name, Before: format(b), After: format(a)}
		if name == "keys" {
			c.Before, c.After = keyCounts(b.Interface().([]string), a.Interface().([]string))
		}
		out = append(out, c)
	}
	return out
}

// keyCounts returns the numbers of keys in two lists instead of the keys, since these are secrets.
func keyCounts(before, after []string) (string, string) {
	missing := func(from, in []string) (n int) {
		for _, k := range from {
			if !slices.Contains(in, k) {
				n++
			}
		}
		return n
	}
	return fmt.Sprint(len(before)), fmt.Sprintf("%d (%d added, %d removed)", len(after), missing(after, before), missing(before, after))
}

// format returns a value for the output; a missing one is "none".
func format(v reflect.Value) string {
	if v.Kind() == reflect.Pointer && v.IsNil() || v.Kind() == reflect.Slice && v.Len() == 0 || v.Kind() == reflect.String && v.Len() == 0 {
		return "none"
	}
	if v.Kind() == reflect.Pointer {
		v = v.Elem()
	}
	return fmt.Sprintf("%+v", v.Interface())
}
