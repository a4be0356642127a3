package gateway

import (
	"time"

	"github.com/plantainbank/plantainbank/internal/connection/links"
	"github.com/plantainbank/plantainbank/internal/process/roster"
	"github.com/plantainbank/plantainbank/internal/request/forward"
)

// backendServers returns the servers that the links can be judged by.
func (s *Server) backendServers() []links.Server {
	var out []links.Server
	for _, x := range s.feed.State().Instances {
		if x.State != roster.Gone && x.Addr != "" {
			out = append(out, links.Server{ID: x.ID, Addr: x.Addr, Service: x.Service, Zone: x.Zone})
		}
	}
	return out
}

// relayHosts returns the hosts that requests are sent through while the links are lost. The order
// changes from call to call, so that they share the load.
func (s *Server) relayHosts() []forward.RelayHost {
	all := s.feed.State().Relays
	out := make([]forward.RelayHost, 0, len(all))
	start := int(s.relayTurn.Add(1))
	for i := range all {
		h := all[(start+i)%len(all)]
		out = append(out, forward.RelayHost{Name: h.Name, Addr: h.Addr})
	}
	return out
}

// linksChanged reports to control that the links were lost or are back. What failed meanwhile says
// nothing about the servers, and no connection that was idle can be trusted.
func (s *Server) linksChanged(c links.Change) {
	s.table.Forgive(c.Since.Add(-forgiveMargin))
	s.cfg.Servers.DropIdle()
	s.feed.ReportNow()
}

// forgiveMargin is the time before the first failure that was noticed in which others may have begun.
const forgiveMargin = time.Second

// Unlinked reports whether this host has lost its links to all backend servers.
func (s *Server) Unlinked() bool { return s.links.Lost() }

// EnterRelayed admits a request that another host has passed on. leave must be called at its end.
func (s *Server) EnterRelayed(workspace string) (leave func(), ok bool) {
	if !s.gate.Enter(workspace) {
		s.cfg.Scope.Counter("relays_not_admitted").Inc(1)
		return nil, false
	}
	return func() { s.gate.Leave(workspace) }, true
}
