package roster

import (
	"cmp"
	"slices"
	"time"
)

const (
	// softwareRetention is how long a software version is remembered after an instance of it was
	// last heard of: a stream that it began may be taken up meanwhile.
	softwareRetention = 2 * time.Minute
	// maxSoftware bounds the versions that are remembered.
	maxSoftware = 1024
)

type softwareKey struct{ service, software string }

// Software is a software version that a service has or had lately.
type Software struct {
	Service  string `json:"service"`
	Software string `json:"software"`
	// At is when an instance of the version was last heard of, in Unix milliseconds.
	At int64 `json:"at"`
}

// Software returns the versions that services have or had lately, for the next leader.
func (t *Table) Software() []Software {
	out := make([]Software, 0, len(t.software))
	for k, at := range t.software {
		out = append(out, Software{k.service, k.software, at.UnixMilli()})
	}
	slices.SortFunc(out, func(a, b Software) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Software, b.Software))
	})
	return out
}

// LoadSoftware merges the versions that an earlier leader has saved. Clocks of hosts differ, so no time
// is taken to be later than now.
func (t *Table) LoadSoftware(all []Software, now time.Time) {
	for _, x := range all {
		at := time.UnixMilli(x.At)
		if at.After(now) {
			at = now
		}
		if k := (softwareKey{x.Service, x.Software}); at.After(t.software[k]) {
			t.software[k] = at
		}
	}
}

// SoleSoftware returns the only software version of a service. It returns false if another one has been
// in service lately, at whatever instances, or if none is known.
func (t *Table) SoleSoftware(service string, now time.Time) (software string, ok bool) {
	t.expireSoftware(now)
	for k := range t.software {
		switch {
		case k.service != service:
		case ok:
			return "", false
		default:
			software, ok = k.software, true
		}
	}
	return software, ok
}

// expireSoftware forgets the versions that have not been heard of for a long time and that no instance
// has.
func (t *Table) expireSoftware(now time.Time) {
	held := map[softwareKey]bool{}
	for _, e := range t.all {
		held[softwareKey{e.Service, e.Software}] = true
	}
	for k, at := range t.software {
		if !held[k] && (now.Sub(at) > softwareRetention || len(t.software) > maxSoftware) {
			delete(t.software, k)
		}
	}
}
