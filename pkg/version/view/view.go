// Package view provides the configuration as entry hosts use it, decoded and
// indexed. A View is immutable; requests read it through an atomic pointer.
package view

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"
	"time"

	"github.com/plantainbank/plantainbank/pkg/version/record"
)

// KeyPrefix starts the text of every key, so that leaked keys can be detected in
// data that must not contain any.
const KeyPrefix = "pbk_"

// View is one version of the configuration. The maps must not be modified.
type View struct {
	// Revision is the configuration revision of the records.
	Revision uint64
	// Records holds the records of the view as submitted, by "kind/name".
	Records    map[string]record.Record
	Workspaces map[string]record.Workspace
	// Keys holds the keys by name.
	Keys     map[string]record.Key
	ZonesOut map[string]bool
	Rollouts map[string]record.Rollout
	Routes   []record.Route
	// Pools holds the pools that rollouts, routes and zones refer to.
	Pools map[string]bool
	// Versions holds the newest weight version of each rollout.
	Versions map[string]uint64
}

// Update returns the view after a change to some records, or, with full set, a view
// of these records alone.
func (v *View) Update(revision uint64, full bool, records []record.Record, versions map[string]uint64) *View {
	raw := map[string]record.Record{}
	if !full {
		for k, r := range v.Records {
			raw[k] = r
		}
	}
	for _, r := range records {
		k := r.Kind + "/" + r.Name
		if r.Withdrawn {
			delete(raw, k)
			continue
		}
		raw[k] = r
	}
	return build(revision, raw, versions)
}

// WithVersions returns a copy of the view with new weight versions.
func (v *View) WithVersions(versions map[string]uint64) *View {
	out := *v
	out.Versions = versions
	return &out
}

func build(revision uint64, raw map[string]record.Record, versions map[string]uint64) *View {
	v := &View{Revision: revision, Records: raw, Workspaces: map[string]record.Workspace{}, Keys: map[string]record.Key{},
		ZonesOut: map[string]bool{}, Pools: map[string]bool{}, Rollouts: map[string]record.Rollout{}, Versions: versions}
	for _, r := range raw {
		v.add(r)
	}
	return v
}

// add decodes one record. It skips records that do not decode; the leader has
// checked them before it accepted them.
func (v *View) add(r record.Record) {
	switch r.Kind {
	case record.KindWorkspace:
		if spec, err := record.Decode[record.Workspace](r); err == nil {
			v.Workspaces[r.Name] = spec
		}
	case record.KindKey:
		if spec, err := record.Decode[record.Key](r); err == nil {
			v.Keys[r.Name] = spec
		}
	case record.KindZone:
		if spec, err := record.Decode[record.Zone](r); err == nil {
			v.addZone(r.Name, spec)
		}
	case record.KindRollout:
		if spec, err := record.Decode[record.Rollout](r); err == nil {
			v.Rollouts[r.Name] = spec
			v.Pools[spec.Pool] = true
		}
	case record.KindRoute:
		if spec, err := record.Decode[record.Route](r); err == nil {
			v.Routes = append(v.Routes, spec)
			v.Pools[spec.Pool] = true
		}
	}
}

func (v *View) addZone(name string, z record.Zone) {
	if z.State == "out" {
		v.ZonesOut[name] = true
	}
	for pool := range z.MaxServers {
		v.Pools[pool] = true
	}
}

// KnowsPool reports whether any record refers to a pool.
func (v *View) KnowsPool(pool string) bool { return v.Pools[pool] }

// HashKey returns the hash of a key's text, as stored in the key's record.
func HashKey(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

// Principal is the key of an authenticated request and the key's workspace.
type Principal struct {
	Key       string
	Hash      string
	Workspace string
}

// Authenticate returns the principal of a key's text, which has the form
// pbk_<name>_<secret>. Hashes are compared in constant time.
func (v *View) Authenticate(text string) (Principal, bool) {
	rest, ok := strings.CutPrefix(text, KeyPrefix)
	if !ok {
		return Principal{}, false
	}
	name, _, ok := strings.Cut(rest, "_")
	if !ok {
		return Principal{}, false
	}
	h := Principal{Key: name, Hash: HashKey(text)}
	h.Workspace = v.Keys[name].Workspace
	return h, v.StillValid(h)
}

// StillValid reports whether a principal that was authenticated before is valid in
// this view.
func (v *View) StillValid(h Principal) bool {
	k, ok := v.Keys[h.Key]
	if !ok || k.Workspace != h.Workspace {
		return false
	}
	if _, ok := v.Workspaces[k.Workspace]; !ok {
		return false
	}
	return subtle.ConstantTimeCompare([]byte(k.Hash), []byte(h.Hash)) == 1
}

// Route returns the route with the longest prefix that matches a path.
func (v *View) Route(path string) (record.Route, bool) {
	var best record.Route
	for _, r := range v.Routes {
		if strings.HasPrefix(path, r.Prefix) && len(r.Prefix) > len(best.Prefix) {
			best = r
		}
	}
	return best, best.Prefix != ""
}

// Weight returns a workspace's weight, or 1 if the workspace is unknown.
func (v *View) Weight(workspace string) float64 {
	if w, ok := v.Workspaces[workspace]; ok {
		return w.Weight
	}
	return 1
}

// Deadline returns the longest time that a workspace's requests may wait.
func (v *View) Deadline(workspace string) time.Duration {
	if w := v.Workspaces[workspace]; w.Deadline > 0 {
		return time.Duration(w.Deadline) * time.Millisecond
	}
	return record.DefaultDeadlineMS * time.Millisecond
}
