package forward

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"

	"github.com/plantainbank/plantainbank/internal/connection/admission"
	"github.com/plantainbank/plantainbank/internal/connection/placement"
	"github.com/plantainbank/plantainbank/internal/process/roster"
	"github.com/plantainbank/plantainbank/internal/version/routing"
	"github.com/plantainbank/plantainbank/service/fleet"
)

// TestParseLoad guards against load headers that lose their first figures to a malformed third or fourth one, and
// against figures that would move all requests to a server or away from it.
func TestParseLoad(t *testing.T) {
	f := New(Config{Headers: headers})
	for value, want := range map[string]placement.Load{
		"3,1,6":       {Busy: 4, Slots: 6},
		"3,1":         {Busy: 4},
		" 3 , 1,x":    {Busy: 4},
		"3,1,6,250":   {Busy: 4, Slots: 6, Work: 2.5},
		"3,1,6, 87.5": {Busy: 4, Slots: 6, Work: 0.875},
		"3,1,6,":      {Busy: 4, Slots: 6},
		"3,1,6,fast":  {Busy: 4, Slots: 6},
		"3,1,6,-100":  {Busy: 4, Slots: 6},
		"3,1,6,0":     {Busy: 4, Slots: 6},
		"3,1,6,NaN":   {Busy: 4, Slots: 6},
		"3,1,6,Inf":   {Busy: 4, Slots: 6},
		"3,1,6,1e9":   {Busy: 4, Slots: 6},
		"3,1,6,100,9": {Busy: 4, Slots: 6},
	} {
		var res fasthttp.Response
		res.Header.Set(headers.Load, value)
		if got, ok := f.parseLoad(&res); !ok || got != want {
			t.Errorf("%q: %+v, %v", value, got, ok)
		}
	}
	for _, value := range []string{"", "3", "x,1,6,100", "3,x"} {
		var res fasthttp.Response
		res.Header.Set(headers.Load, value)
		if _, ok := f.parseLoad(&res); ok {
			t.Errorf("%q is a load", value)
		}
	}
}

// TestPlainCallsUnderPressure guards against calls that ask one full server after another while all are known
// to be full, and against any change of what callers get while the service is not under pressure.
func TestPlainCallsUnderPressure(t *testing.T) {
	var asked atomic.Int32
	var instances []roster.Instance
	for i := range 3 {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			asked.Add(1)
			w.Header().Set("X-Request", r.Header.Get("X-Request"))
			w.Header().Set("X-Not-Run", "1")
			w.Header().Set("X-Load", "6,0,6")
			w.WriteHeader(http.StatusServiceUnavailable)
		}))
		defer srv.Close()
		instances = append(instances, roster.Instance{ID: fmt.Sprint("i-", i), Service: "svc", Addr: strings.TrimPrefix(srv.URL, "http://"), Slots: 6,
			State: roster.Ready, Born: 1})
	}
	f, _, log := newForwarder(t, 0)
	f.cfg.Table.Update(instances, nil, routing.NewTable(&routing.Config{}), 1)
	f.cfg.Admission = admission.NewHost(admission.HostConfig{Log: logrus.NewEntry(logrus.New()), Scope: tally.NoopScope})
	call := func(id, workspace string, resumable bool) (*Response, int32) {
		before := asked.Load()
		r := newRequest(id, "ok")
		r.Workspace, r.Route.Resumable = workspace, resumable
		return f.Do(context.Background(), r), asked.Load() - before
	}
	a, n := call("calm", "w", false)
	if n != maxRefusals || a.Status != http.StatusServiceUnavailable || a.RetryAfter != retryAfterDelay {
		t.Errorf("without pressure: %d servers asked, %+v", n, a)
	}
	if q := f.cfg.Admission.Report(time.Now()); len(q) != 1 || q[0].Full != maxRefusals || q[0].Failed != 1 || q[0].Free != 0 || q[0].Busy != 100 {
		t.Errorf("reported %v", q)
	}
	f.cfg.Admission.Apply([]*fleet.Pressure{{Service: "svc", Capacity: 10, Shares: []*fleet.PlainShare{{Workspace: "flood", Demand: 1000}}}}, time.Now())
	time.Sleep(10 * time.Millisecond)
	if a, n := call("other", "w", false); n != 1 || a.Status != http.StatusServiceUnavailable || a.RetryAfter < 250*time.Millisecond || a.RetryAfter > 5*time.Second {
		t.Errorf("under pressure: %d servers asked, %+v", n, a)
	}
	if a, n := call("flood", "flood", false); n != 0 || a.Status != http.StatusServiceUnavailable || a.RetryAfter < 3*time.Second || a.RetryAfter > 5*time.Second {
		t.Errorf("beyond the share: %d servers asked, %+v", n, a)
	}
	if _, n := call("stream", "flood", true); n == 0 {
		t.Error("a resumable stream was refused for the share of plain calls")
	}
	if n := len(log.lines("request answered")); n != 3 {
		t.Errorf("%d requests logged, want 3: a refused call has no line of its own", n)
	}
}
