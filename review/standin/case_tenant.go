package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// playTenantHeader submits a batch with the key of one tenant. Its consumer has set the header
// Plantainbank-Tenant itself in some items, with the name of another tenant and in lower case.
func playTenantHeader(s *site, trouble bool) ([]string, error) {
	var mu sync.Mutex
	ran := map[string][]string{} // the values of the header, by request
	note := func(x *exchange) {
		mu.Lock()
		defer mu.Unlock()
		ran[x.id] = x.req.Header.Values("Plantainbank-Tenant")
		x.srv.s.rec.add(x.srv.id, "runs %s for tenant %s, header values %q", x.id, x.req.Header.Get("Plantainbank-Tenant"), ran[x.id])
	}
	for i := range 3 {
		_, err := startServer(s, i, fmt.Sprintf("i-e%d", i), "proofer", model, 12, func(x *exchange) bool {
			note(x)
			events, _ := eventTexts(x.id, 1, eventsPerItem)
			return x.stream(events, 15*time.Millisecond)
		})
		if err != nil {
			return nil, err
		}
	}
	_, err := startServer(s, 3, "i-counter", "counter", "", 6, func(x *exchange) bool {
		if !strings.HasPrefix(x.id, "warm") {
			note(x)
		}
		return x.whole(http.StatusOK, "text/plain", "done")
	})
	if err != nil {
		return nil, err
	}
	if err := s.putConfig(7); err != nil {
		return nil, err
	}
	if err := s.awaitServed(); err != nil {
		return nil, err
	}
	// The same header in a plain request, for comparison.
	header := map[string]string{}
	if trouble {
		header["plantainbank-tenant"] = tenantB
	}
	a := s.once(0, "POST", "/lohu930/x", "plain-1", keyA, 1500*time.Millisecond, []byte("b"), header)
	s.rec.add("consumer", "plain-1: %d", a.status)
	const id = "7c41e09b52d6a3f0"
	var items []item
	for i := range 16 {
		x := newItem(fmt.Sprintf("e-%d", i), fmt.Sprintf("g-%d", i/4))
		if trouble && i%4 == 0 {
			x.Headers["plantainbank-tenant"] = tenantB
			s.rec.add("trainer", "sets plantainbank-tenant: %s in %s", tenantB, x.ID)
		}
		items = append(items, x)
	}
	if err := s.submit(id, keyA, 0, items); err != nil {
		return nil, err
	}
	all := s.readAll(id, keyA, len(items), 12*time.Second)
	s.end(id, keyA)
	if len(all) < len(items) {
		return nil, fmt.Errorf("read %d results of %d", len(all), len(items))
	}
	mu.Lock()
	defer mu.Unlock()
	var broken []string
	for request, values := range ran {
		if len(values) == 0 || values[0] != tenantA {
			broken = append(broken, fmt.Sprintf("UNASKED: a server ran %s, sent with the key of %s, for tenant %q", request, tenantA, values))
		}
	}
	return broken, nil
}
