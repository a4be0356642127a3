package control

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/plantainbank/plantainbank/pkg/process/ledger"
	"github.com/plantainbank/plantainbank/pkg/version/record"
	pb "github.com/plantainbank/plantainbank/service/control"
)

// propose commits a command and returns the result of applying it.
func (s *Server) propose(ctx context.Context, c ledger.Command) (any, error) {
	result, err := s.node.Propose(ctx, c.Encode())
	if err != nil {
		return nil, s.toTwirpError(err)
	}
	return result, nil
}

// Submit commits or refuses one change. After an error with the code failed_precondition
// nothing has changed; after any other error the outcome is unknown.
func (s *Server) Submit(ctx context.Context, c *pb.Change) (*pb.ChangeAnswer, error) {
	if c.Request == "" {
		return nil, twirp.RequiredArgumentError("request")
	}
	if err := s.checkLeader(); err != nil {
		return nil, err
	}
	change := ledger.Change{Request: c.Request, Replaces: c.Replaces, Record: record.Record{
		Kind: c.Kind, Name: c.Name, Schema: int(c.Schema), Spec: c.Spec, Withdrawn: c.Withdraw}}
	result, err := s.propose(ctx, ledger.Command{Change: &change})
	if err != nil {
		return nil, err
	}
	answer, ok := result.(ledger.ChangeResult)
	if !ok {
		return nil, twirp.InternalError("the change could not be applied")
	}
	s.scope.Counter("changes").Inc(1)
	out := &pb.ChangeAnswer{Revision: answer.Revision, Refused: answer.Refused, Message: answer.Message}
	if answer.Current != nil {
		out.Standing = recordToProto(*answer.Current)
	}
	return out, nil
}

// List returns the records of a kind, converted to a schema version if q names one.
func (s *Server) List(ctx context.Context, q *pb.ListRequest) (*pb.Records, error) {
	out := &pb.Records{}
	err := s.onLeader(ctx, func() error {
		out.Revision = s.ledger.Revision
		for _, r := range s.ledger.List(q.Kind) {
			if q.Name != "" && r.Name != q.Name {
				continue
			}
			if q.Schema != 0 {
				spec, err := record.Convert(r, int(q.Schema))
				if err != nil {
					return twirp.InvalidArgumentError("schema", err.Error())
				}
				r.Spec, r.Schema = spec, int(q.Schema)
			}
			out.Records = append(out.Records, recordToProto(r))
		}
		return nil
	})
	return out, err
}

// InForce waits until every entry host that holds a lease has a revision, or the wait is
// over.
func (s *Server) InForce(ctx context.Context, q *pb.InForceRequest) (*pb.InForceAnswer, error) {
	out := &pb.InForceAnswer{}
	deadline := time.Now().Add(time.Duration(q.Waitms) * time.Millisecond)
	for {
		err := s.onLeader(ctx, func() error {
			out.Waiting = s.hostsBehind(q.Revision, time.Now())
			out.Inforce = len(out.Waiting) == 0
			return nil
		})
		if err != nil || out.Inforce || time.Now().After(deadline) {
			return out, err
		}
		select {
		case <-ctx.Done():
			return out, s.toTwirpError(ctx.Err())
		case <-time.After(inForcePollInterval):
		}
	}
}

// inForcePollInterval is the interval at which InForce checks the hosts.
const inForcePollInterval = 50 * time.Millisecond

// hostsBehind returns the hosts that may still act on an older revision.
func (s *Server) hostsBehind(revision uint64, now time.Time) []string {
	l := s.leadership
	var out []string
	if !l.oldLeasesExpired(now) {
		out = append(out, "hosts of the former leader")
	}
	for name, h := range l.hosts {
		if l.leases.Live(name, now) && h.revision < revision {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// Status returns the state of the replicas, hosts, backend servers, zones and workspaces.
func (s *Server) Status(ctx context.Context, _ *pb.StatusRequest) (*pb.StatusAnswer, error) {
	out := &pb.StatusAnswer{}
	err := s.onLeader(ctx, func() error {
		s.fillStatus(out, time.Now())
		return nil
	})
	return out, err
}

func (s *Server) fillStatus(out *pb.StatusAnswer, now time.Time) {
	st := s.node.Status()
	l := s.ledger
	out.Term, out.Leader, out.Commit, out.Revision = st.Term, s.cfg.Listen, st.Commit, l.Revision
	out.Windows, out.Reported = l.Usage.Next, l.Usage.Reported
	out.Records, out.Steps = uint32(len(l.Records)), uint32(len(l.Steps))
	for _, m := range st.Members {
		match := st.Match[m.ID]
		if m.ID == st.ID {
			match = st.LastIndex
		}
		out.Replicas = append(out.Replicas, &pb.Replica{Id: uint64(m.ID), Addr: m.Addr, Learner: m.Learner,
			Match: match, Leader: m.ID == st.ID})
	}
	for name, h := range s.leadership.hosts {
		out.Hosts = append(out.Hosts, &pb.Host{Host: name, Zone: h.zone, Revision: h.revision,
			Incarnation: h.incarnation, Live: s.leadership.leases.Live(name, now)})
	}
	slices.SortFunc(out.Hosts, func(a, b *pb.Host) int { return strings.Compare(a.Host, b.Host) })
	for _, b := range s.leadership.backends {
		out.Backends = append(out.Backends, &pb.Backend{Announced: b.announced, Limit: uint32(b.ramp.Limit)})
	}
	slices.SortFunc(out.Backends, func(a, b *pb.Backend) int { return strings.Compare(a.Announced.Id, b.Announced.Id) })
	s.fillZones(out)
	s.fillWorkspaces(out, now)
}

func (s *Server) fillWorkspaces(out *pb.StatusAnswer, now time.Time) {
	demand := map[string]float64{}
	for name, h := range s.leadership.hosts {
		if !s.leadership.leases.Live(name, now) {
			continue
		}
		for k, amount := range h.demand {
			demand[k.workspace] += amount
		}
	}
	weights := s.decodedRecords().weights
	for _, name := range slices.Sorted(maps.Keys(weights)) {
		out.Workspaces = append(out.Workspaces, &pb.Workspace{Workspace: name, Weight: weights[name], Demand: demand[name]})
	}
}

func (s *Server) fillZones(out *pb.StatusAnswer) {
	for _, r := range s.ledger.List(record.KindZone) {
		z := &pb.ZoneOrder{Zone: r.Name, State: "in"}
		if s.zoneOut(r.Name) {
			z.State = "out"
		}
		for _, o := range s.ledger.Orders {
			if o.Zone == r.Name {
				z.Ordered += uint32(o.Steady + o.Cheap)
				z.Number = max(z.Number, o.Number)
			}
		}
		for _, b := range s.leadership.backends {
			if b.announced.Zone == r.Name {
				z.Backends++
			}
		}
		out.Zones = append(out.Zones, z)
	}
}
