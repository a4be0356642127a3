package catalog

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/plantainbank/plantainbank/internal/process/roster"
	"github.com/plantainbank/plantainbank/internal/version/routing"
)

// maxWindows bounds the closed usage windows that are stored; older ones cannot be closed
// again, since Floor is above them.
const maxWindows = 64

// Catalog is the replicated state. It is not safe for concurrent use.
type Catalog struct {
	// Revision increases with every change that hosts must receive.
	Revision uint64 `json:"revision"`
	Public   Public `json:"public"`
	// Document is the configuration as it was submitted.
	Document []byte `json:"document,omitempty"`
	// Token is the fencing token of the latest leadership: the index of the log entry
	// that established it. It never decreases.
	Token uint64 `json:"token"`
	// Holder is the host that holds the leadership.
	Holder string `json:"holder,omitempty"`
	// Superseded holds when another host last took the leadership from a host, in Unix
	// milliseconds of the clock of the host that took it.
	Superseded map[string]int64 `json:"superseded,omitempty"`
	// Windows are the closed usage windows; their counts never change.
	Windows map[uint64]*Window `json:"windows,omitempty"`
	// Floor is the lowest number of a window that may still be closed.
	Floor uint64 `json:"floor"`
	// Instances are the backend servers that a leader last stored, so that requests find
	// servers right after a restart of all processes.
	Instances []roster.Instance `json:"instances,omitempty"`
	// Software are the software versions that services had when Instances was stored, or lately
	// before.
	Software []roster.Software `json:"software,omitempty"`
	// Controls are the control processes that have reported to a leader, those that reported last at the
	// end. Members of the group find all of them after a restart, whatever their settings name.
	Controls []ControlHost `json:"controls,omitempty"`
	// differences are not saved: every process that applies the same commands has them.
	differences differences
}

// Public is the part of the catalog that is sent to every host. What it refers to is never modified.
type Public struct {
	// Config is nil until the first configuration is accepted.
	Config *routing.Config `json:"config,omitempty"`
	// ZonesOut are the availability zones that are out of service: they get no new work.
	ZonesOut map[string]bool `json:"zonesout,omitempty"`
	// Weights holds the latest published weight version of each model.
	Weights map[string]uint64 `json:"weights,omitempty"`
	// InitialVoters are the initial voters of the store group. They are replaced only if
	// they never formed it.
	InitialVoters []InitialVoter `json:"founders,omitempty"`
	// Retiring is the set of store hosts that are retired: their copies move to other
	// hosts.
	Retiring map[string]bool `json:"retiring,omitempty"`
}

// InitialVoter is one of the initial voters of the store group.
type InitialVoter struct {
	Disk uint64 `json:"disk"`
	Addr string `json:"addr"`
}

// ControlHost is a control process that has reported to a leader.
type ControlHost struct {
	Name string `json:"name"`
	// Addr is the address for calls from other processes of the site.
	Addr string `json:"addr"`
	// Disk is the storage number of its data directory.
	Disk uint64 `json:"disk"`
}

// Window is a closed usage window.
type Window struct {
	Counts   map[string]uint64 `json:"counts"`
	Reported bool              `json:"sent,omitempty"`
}

// Command is one change. Exactly one field is set, except that PreviousVoters accompanies
// InitialVoters, and Software Instances.
type Command struct {
	Config        *ConfigChange  `json:"config,omitempty"`
	Zone          *ZoneChange    `json:"zone,omitempty"`
	Weight        *WeightChange  `json:"weight,omitempty"`
	InitialVoters []InitialVoter `json:"found,omitempty"`
	// PreviousVoters are the voters that InitialVoters replaces, none at first.
	PreviousVoters []InitialVoter `json:"was,omitempty"`
	Retire         string         `json:"retire,omitempty"`
	// Leadership is the host that takes the leadership, LeadershipAt when it does, in Unix
	// milliseconds.
	Leadership   string       `json:"office,omitempty"`
	LeadershipAt int64        `json:"officeat,omitempty"`
	Close        *WindowClose `json:"close,omitempty"`
	// ReportedWindow is the number of a window that was reported.
	ReportedWindow uint64 `json:"sent,omitempty"`
	// Instances is the roster to store for the next leader, Software what accompanies it.
	Instances []roster.Instance `json:"instances,omitempty"`
	Software  []roster.Software `json:"software,omitempty"`
	// Controls replaces the stored control processes.
	Controls []ControlHost `json:"controls,omitempty"`
}

// ConfigChange submits a configuration.
type ConfigChange struct {
	Document []byte          `json:"document"`
	Config   *routing.Config `json:"config"`
}

// ZoneChange takes an availability zone out of service or puts it back.
type ZoneChange struct {
	Zone string `json:"zone"`
	Out  bool   `json:"out"`
}

// WeightChange publishes a weight version of a model.
type WeightChange struct {
	Model   string `json:"model"`
	Version uint64 `json:"version"`
}

// WindowClose fixes the counts of a usage window.
type WindowClose struct {
	Number uint64            `json:"number"`
	Counts map[string]uint64 `json:"counts"`
}

// New returns an empty catalog.
func New() *Catalog { return &Catalog{Windows: map[uint64]*Window{}} }

// Restore decodes a catalog encoded by Save.
func Restore(data []byte) (*Catalog, error) {
	c := New()
	if err := json.Unmarshal(data, c); err != nil {
		return nil, fmt.Errorf("cannot decode the catalog: %w", err)
	}
	if c.Windows == nil {
		c.Windows = map[uint64]*Window{}
	}
	return c, nil
}

// Save encodes the catalog.
func (c *Catalog) Save() []byte { return encode(c) }

// Encode returns the bytes of a command.
func (c *Command) Encode() []byte { return encode(c) }

func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // cannot happen: plain structs always encode
	}
	return data
}

// Apply applies the encoded command at a log index and reports whether hosts must be
// notified.
func (c *Catalog) Apply(index uint64, data []byte) (changed bool, err error) {
	var x Command
	if err := json.Unmarshal(data, &x); err != nil {
		return false, fmt.Errorf("cannot decode the catalog command at index %d: %w", index, err)
	}
	before := c.Public
	changed = c.apply(index, &x)
	if changed {
		c.differences.add(c.Revision, index, before, c.Public)
		c.Revision = index
	}
	return changed, nil
}

func (c *Catalog) apply(index uint64, x *Command) bool {
	switch {
	case x.Config != nil:
		return c.putConfig(x.Config)
	case x.Zone != nil:
		return c.putZone(x.Zone)
	case x.Weight != nil:
		return c.putWeight(x.Weight)
	case x.InitialVoters != nil:
		return c.setInitialVoters(x.InitialVoters, x.PreviousVoters)
	case x.Retire != "":
		return c.retire(x.Retire)
	case x.Leadership != "":
		c.setHolder(index, x.Leadership, x.LeadershipAt)
	case x.Close != nil:
		c.closeWindow(x.Close)
	case x.Instances != nil:
		c.Instances, c.Software = x.Instances, x.Software
	case x.Controls != nil:
		c.Controls = x.Controls
	case x.ReportedWindow != 0:
		if w := c.Windows[x.ReportedWindow]; w != nil {
			w.Reported = true
		}
	}
	return false
}

func (c *Catalog) setHolder(index uint64, host string, at int64) {
	if c.Holder != "" && c.Holder != host {
		if c.Superseded == nil {
			c.Superseded = map[string]int64{}
		}
		c.Superseded[c.Holder] = at
	}
	c.Token, c.Holder = index, host
}

// putConfig replaces the configuration if the new version is higher.
func (c *Catalog) putConfig(x *ConfigChange) bool {
	if current := c.Public.Config; current != nil && x.Config.Version <= current.Version {
		return false
	}
	c.Public.Config, c.Document = x.Config, x.Document
	return true
}

// putZone replaces the map instead of changing it, since readers may still use the former
// one.
func (c *Catalog) putZone(x *ZoneChange) bool {
	if c.Public.ZonesOut[x.Zone] == x.Out {
		return false
	}
	c.Public.ZonesOut = withEntry(c.Public.ZonesOut, x.Zone, x.Out)
	return true
}

func (c *Catalog) putWeight(x *WeightChange) bool {
	if x.Version <= c.Public.Weights[x.Model] {
		return false
	}
	c.Public.Weights = withEntry(c.Public.Weights, x.Model, x.Version)
	return true
}

func (c *Catalog) setInitialVoters(voters, previous []InitialVoter) bool {
	if !slices.Equal(c.Public.InitialVoters, previous) {
		return false
	}
	c.Public.InitialVoters = voters
	return true
}

func (c *Catalog) retire(host string) bool {
	if c.Public.Retiring[host] {
		return false
	}
	c.Public.Retiring = withEntry(c.Public.Retiring, host, true)
	return true
}

func withEntry[V any](m map[string]V, k string, v V) map[string]V {
	out := maps.Clone(m)
	if out == nil {
		out = map[string]V{}
	}
	out[k] = v
	return out
}

// closeWindow fixes the counts of a window. A closed window is never changed.
func (c *Catalog) closeWindow(x *WindowClose) {
	if x.Number < c.Floor || c.Windows[x.Number] != nil {
		return
	}
	c.Windows[x.Number] = &Window{Counts: x.Counts}
	for len(c.Windows) > maxWindows {
		c.dropOldest()
	}
}

func (c *Catalog) dropOldest() {
	oldest := ^uint64(0)
	for n := range c.Windows {
		oldest = min(oldest, n)
	}
	delete(c.Windows, oldest)
	c.Floor = max(c.Floor, oldest+1)
}
