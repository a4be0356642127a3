package control

import "github.com/plantainbank/plantainbank/pkg/version/record"

// decodedRecords contains the records that a leader reads often, decoded once for each
// revision.
type decodedRecords struct {
	revision uint64
	weights  map[string]float64
	zonesOut map[string]bool
	rollouts map[string]record.Rollout
}

// decodedRecords returns the decoded records of the current revision. It runs on the control
// goroutine.
func (s *Server) decodedRecords() *decodedRecords {
	if s.recordCache == nil || s.recordCache.revision != s.ledger.Revision {
		s.recordCache = decodeRecords(s.ledger.Revision, s.ledger.Records)
	}
	return s.recordCache
}

func decodeRecords(revision uint64, records map[string]record.Record) *decodedRecords {
	d := &decodedRecords{revision: revision, weights: map[string]float64{}, zonesOut: map[string]bool{}, rollouts: map[string]record.Rollout{}}
	for _, r := range records {
		d.add(r)
	}
	return d
}

// add decodes one record. It ignores records that cannot be decoded, as records are
// validated before they are accepted.
func (d *decodedRecords) add(r record.Record) {
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

// zoneOut reports whether the state of an availability zone is "out".
func (s *Server) zoneOut(name string) bool { return s.decodedRecords().zonesOut[name] }
