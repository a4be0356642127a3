// Package view is one version of the configuration as entry hosts read it.
// A View is immutable; traffic reads it through an atomic pointer.
package view

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"
	"time"

	"github.com/plantainbank/plantainbank/pkg/version/record"
)

// KeyPrefix starts the text of every key, so that keys can be found in bytes
// that must not hold one.
const KeyPrefix = "pbk_"

// View is one version of the configuration. The maps must not be changed.
type View struct {
	// Revision of the records.
	Revision uint64
	// Raw holds the records that the view was made of, by kind and name.
	Records    map[string]record.Record
	Workspaces map[string]record.Workspace
	// Keys is keyed by the name of the key.
	Keys     map[string]record.Key
	ZonesOut map[string]bool
	Rollouts map[string]record.Rollout
	Routes   []record.Route
	// Pools holds the pools that any record names.
	Pools map[string]bool
	// Versions holds each rollout's newest weight version.
	Versions map[string]uint64
}

// Update returns the view after a change. With full set, records replace all
// others.
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

// WithVersions returns the view with other weight versions.
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

// add decodes one record. Records were checked before they were accepted.
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

// KnowsPool reports whether any record names a pool.
func (v *View) KnowsPool(pool string) bool { return v.Pools[pool] }

// HashKey returns the hash that a key's record holds.
func HashKey(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

// Holder is the key that a request came with and the workspace it acts for.
type Principal struct {
	Key       string
	Hash      string
	Workspace string
}

// Authenticate returns the holder of a key's text. The text is
// pbk_<name>_<secret>; the hash is compared in constant time.
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

// Holds reports whether a holder that was authenticated before still stands.
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

// Route returns the route with the longest prefix of a path.
func (v *View) Route(path string) (record.Route, bool) {
	var best record.Route
	for _, r := range v.Routes {
		if strings.HasPrefix(path, r.Prefix) && len(r.Prefix) > len(best.Prefix) {
			best = r
		}
	}
	return best, best.Prefix != ""
}

// Weight returns a workspace's weight.
func (v *View) Weight(workspace string) float64 {
	if w, ok := v.Workspaces[workspace]; ok {
		return w.Weight
	}
	return 1
}

// Deadline returns the longest wait of a workspace's requests.
func (v *View) Deadline(workspace string) time.Duration {
	if w := v.Workspaces[workspace]; w.Deadline > 0 {
		return time.Duration(w.Deadline) * time.Millisecond
	}
	return record.DefaultDeadlineMS * time.Millisecond
}
