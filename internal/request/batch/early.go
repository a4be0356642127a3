package batch

import (
	"cmp"
	"maps"
	"slices"

	"github.com/plantainbank/plantainbank/service/batchlog"
)

// maxEarlyEnds bounds the ends of batches that are not known. The oldest are dropped first.
const maxEarlyEnds = 4096

// earlyEnd is the end of a batch that was not known when the end was applied.
type earlyEnd struct {
	workspace string
	// asked is in Unix milliseconds.
	asked int64
}

func (s *Store) addEarlyEnd(id string, e earlyEnd) {
	s.earlyEnds[id] = e
	if len(s.earlyEnds) <= maxEarlyEnds {
		return
	}
	delete(s.earlyEnds, slices.MinFunc(slices.Collect(maps.Keys(s.earlyEnds)), func(a, b string) int {
		return cmp.Or(cmp.Compare(s.earlyEnds[a].asked, s.earlyEnds[b].asked), cmp.Compare(a, b))
	}))
}

func (e earlyEnd) toProto(id string) *batchlog.Batch {
	return &batchlog.Batch{Id: id, Workspace: e.workspace, Submitted: e.asked, Early: true}
}
