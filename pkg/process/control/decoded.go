package control

import "github.com/plantainbank/plantainbank/pkg/version/record"

// decoded holds what a leader reads of the records all the time, so that they
// are decoded once a revision.
type decoded struct {
	revision uint64
	weights  map[string]float64
	zonesOut map[string]bool
	rollouts map[string]record.Rollout
}

// decoded returns the decoded records. It runs on the control goroutine.
func (s *Server) decoded() *decoded {
	if s.cache == nil || s.cache.revision != s.ledger.Revision {
		s.cache = decode(s.ledger.Revision, s.ledger.Records)
	}
	return s.cache
}

func decode(revision uint64, records map[string]record.Record) *decoded {
	d := &decoded{revision: revision, weights: map[string]float64{}, zonesOut: map[string]bool{}, rollouts: map[string]record.Rollout{}}
	for _, r := range records {
		d.add(r)
	}
	return d
}

// add decodes one record. Records were checked before they were accepted.
func (d *decoded) add(r record.Record) {
	switch r.Kind {
	case record.KindWorkspace:
		if spec, err := record.Decode[record.Workspace](r); err == nil {
			d.weights[r.Name] = spec.Weight
		}
	case record.KindZone:
		if spec, err := record.Decode[record.Zone](r); err == nil && spec.State == "out" {
			d.zonesOut[r.Name] = true
		}
	case record.KindRollout:
		if spec, err := record.Decode[record.Rollout](r); err == nil {
			d.rollouts[r.Name] = spec
		}
	}
}

// zoneOut reports whether an availability zone is out.
func (s *Server) zoneOut(name string) bool { return s.decoded().zonesOut[name] }
