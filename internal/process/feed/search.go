package feed

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/plantainbank/plantainbank/service/fleet"
)

// SetSeeds replaces the seed addresses after the settings have changed.
func (f *Feed) SetSeeds(seeds []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seeds = seeds
}

// Seeds returns the control processes named in the settings.
func (f *Feed) Seeds() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.seeds)
}

// introduction is the latest call of a control process to this one.
type introduction struct {
	at time.Time
	// disk is the storage number of the process, zero if it has not said.
	disk uint64
}

// Learn records a control process that has called this one: it may lead, or know who does. After a restart of
// all processes, members of the control group and seeds that are no members know nothing of each other.
func (f *Feed) Learn(h *fleet.Host, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for a, x := range f.introduced {
		if now.Sub(x.at) > introductionTTL {
			delete(f.introduced, a)
		}
	}
	_, known := f.introduced[h.Addr]
	if h.Addr == f.cfg.Self || !known && len(f.introduced) >= maxIntroduced {
		return
	}
	f.introduced[h.Addr] = introduction{now, h.Disk}
	if !known {
		f.cfg.Log.WithFields(logrus.Fields{"control": h.Addr, "disk": h.Disk}).Info("control process introduced itself")
	}
}

// Introduce calls a control process so that it learns of this one. disk is the storage number of the process that
// is meant, zero for any.
func (f *Feed) Introduce(ctx context.Context, addr string, disk uint64) error {
	q := &fleet.Report{Role: f.cfg.Role, Incarnation: f.cfg.Incarnation, Catalog: f.State().Catalog, Host: &fleet.Host{Name: f.cfg.Host}, To: disk}
	f.cfg.Report(q)
	ctx, cancel := context.WithTimeout(ctx, searchTimeout)
	defer cancel()
	_, err := fleet.NewDirectorProtobufClient("http://"+addr, f.cfg.Client).Watch(ctx, q)
	return err
}

// Candidates returns the processes that may know the leader.
func (f *Feed) Candidates(now time.Time) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.candidates(now)
}

// candidates returns the processes that may know the leader. The caller holds f.mu.
func (f *Feed) candidates(now time.Time) []string {
	var all []string
	add := func(a string) {
		if a != f.cfg.Self && !slices.Contains(all, a) {
			all = append(all, a)
		}
	}
	for _, a := range slices.Concat(f.controls, f.seeds) {
		add(a)
	}
	for _, a := range slices.Sorted(maps.Keys(f.introduced)) {
		if now.Sub(f.introduced[a].at) <= introductionTTL {
			add(a)
		}
	}
	return all
}

// expectedDisk returns the storage number that the process at an address must have, zero for any: an address that
// only an introduction has named may belong to another process by now, even to one of another site.
func (f *Feed) expectedDisk(addr string) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if slices.Contains(f.seeds, addr) || slices.Contains(f.controls, addr) {
		return 0
	}
	return f.introduced[addr].disk
}

// target returns the leader if it is known, and otherwise the next process that is not in
// cooldown. confirmed is true if the process has answered as the leader.
func (f *Feed) target(now time.Time) (addr string, confirmed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leader != "" {
		return f.leader, f.confirmed
	}
	all := f.candidates(now)
	for range all {
		f.next++
		if a := all[f.next%len(all)]; now.Sub(f.failedAt[a]) > failedCooldown {
			return a, false
		}
	}
	if len(all) == 0 {
		return "", false
	}
	return all[f.next%len(all)], false
}

// redirect selects the leader that the process at addr has named for the next call. It
// returns false if no other process was named, if that process is in cooldown, or after
// maxRedirects redirects in a row.
func (f *Feed) redirect(addr, leader string) bool {
	if f.redirects >= maxRedirects {
		f.redirects = 0
		return false
	}
	if leader == "" || leader == addr || leader == f.cfg.Self || time.Since(f.failedAt[leader]) <= failedCooldown {
		return false
	}
	f.leader = leader
	f.redirects++
	return true
}

// anyResponsive reports whether there is a process that is not in cooldown.
func (f *Feed) anyResponsive() bool {
	return slices.ContainsFunc(f.candidates(time.Now()), func(a string) bool { return time.Since(f.failedAt[a]) > failedCooldown })
}
