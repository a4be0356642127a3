package review

import (
	"fmt"
	"time"

	"github.com/plantainbank/plantainbank/internal/version/routing"
)

// limits adds the limits that contradict each other.
func (r *reviewer) limits() {
	for i := range r.cfg.Routes {
		r.routeLimits(fmt.Sprintf("routes[%d]", i), &r.cfg.Routes[i])
	}
	for i := range r.cfg.Services {
		r.serviceLimits(fmt.Sprintf("services[%d]", i), &r.cfg.Services[i])
	}
	r.requestLimits()
}

func (r *reviewer) routeLimits(field string, x *routing.Route) {
	if x.TargetLatency > x.Timeout {
		r.add(Limit, x.Name, field+".target", "is %s, over the timeout of %s", seconds(x.TargetLatency), seconds(x.Timeout))
	}
	if x.Expiry > 0 && x.Due > x.Expiry {
		r.add(Limit, x.Name, field+".due", "is %s, over the expiry of %s", seconds(x.Due), seconds(x.Expiry))
	}
	if x.Kind == routing.Once {
		return // sent once, whatever the number of attempts
	}
	if x.MaxAttempts < 1 {
		r.add(Limit, x.Name, field+".attempts", "is %d: a request is sent once", x.MaxAttempts)
	}
	if x.MaxAttempts > 1 && x.TargetLatency > 0 && x.TargetLatency <= x.Timeout && x.TargetLatency > x.Timeout/time.Duration(x.MaxAttempts) {
		r.add(Limit, x.Name, field+".attempts", "%d attempts of %s (target latency) do not fit into the timeout of %s",
			x.MaxAttempts, seconds(x.TargetLatency), seconds(x.Timeout))
	}
}

func (r *reviewer) serviceLimits(field string, s *routing.Service) {
	if s.MaxConnections > 0 && s.Slots > s.MaxConnections {
		r.add(Limit, s.Name, field+".slots", "is %d, over the %d connections that a backend server accepts", s.Slots, s.MaxConnections)
	}
	if s.Scale != nil && s.Scale.Min > s.Scale.Max {
		r.add(Limit, s.Name, field+".scale.min", "is %d, over the maximum of %d", s.Scale.Min, s.Scale.Max)
	}
}

func (r *reviewer) requestLimits() {
	l, own := r.cfg.Limits, r.site.Limits
	body := l.MaxBodyBytes
	if own.MaxBodyBytes > 0 {
		if body > own.MaxBodyBytes {
			r.add(Limit, "", "limits.body", "is %d bytes, over the %d that a process accepts", body, own.MaxBodyBytes)
		}
		if body == 0 {
			body = own.MaxBodyBytes
		}
	}
	if r.site.MemoryBytes > 0 && int64(body) > r.site.MemoryBytes {
		r.add(Limit, "", "limits.body", "allows %d bytes, over the %d of the smallest host's memory", body, r.site.MemoryBytes)
	}
	if own.MaxHeaderBytes > 0 && l.MaxHeaderBytes > own.MaxHeaderBytes {
		r.add(Limit, "", "limits.header", "is %d bytes, over the %d that a process accepts", l.MaxHeaderBytes, own.MaxHeaderBytes)
	}
	if own.IdleTimeout > 0 && l.IdleTimeout > own.IdleTimeout {
		r.add(Limit, "", "limits.idle", "is %s, over the %s after which a process closes a connection", seconds(l.IdleTimeout), seconds(own.IdleTimeout))
	}
	if l.IdleTimeout > 0 && l.IdleTimeout < l.ReadTimeout {
		r.add(Limit, "", "limits.idle", "is %s, below the read timeout of %s", seconds(l.IdleTimeout), seconds(l.ReadTimeout))
	}
}
