package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const tenantItems = 12

// playSentTenant plays a consumer that sends the header of the tenant itself, in the items of a batch
// and in plain requests. Header names have no case.
func playSentTenant(s *site, trouble bool) ([]string, error) {
	var mu sync.Mutex
	var broken []string
	runs := 0
	check := func(x *exchange) {
		got := x.req.Header.Values("Plantainbank-Tenant")
		s.rec.add(x.srv.id, "runs %s %s, Plantainbank-Tenant %q", x.id, x.req.URL.Path, got)
		mu.Lock()
		defer mu.Unlock()
		runs++
		if len(got) != 1 || got[0] != tenantA {
			broken = append(broken, fmt.Sprintf("UNASKED: %s runs %s with Plantainbank-Tenant %q, the key is of %s", x.srv.id, x.id, got, tenantA))
		}
	}
	for n := range 6 {
		id, service, m, slots := fmt.Sprintf("i-%d", n), "proofer", model, 12
		if n >= 3 {
			service, m, slots = "counter", "", 6
		}
		v, err := startServer(s, n, id, service, m, slots, func(x *exchange) bool {
			check(x)
			if strings.HasPrefix(x.req.URL.Path, "/pufi791/") {
				events, _ := eventTexts(x.id, 1, 9)
				return x.stream(events, 20*time.Millisecond)
			}
			return x.whole(http.StatusOK, "text/plain", "answer to "+x.id)
		})
		if err != nil {
			return nil, err
		}
		defer v.close()
	}
	if err := s.putConfig(1); err != nil {
		return nil, err
	}
	if err := s.awaitServed(); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	header := map[string]string{}
	if trouble {
		header["plantainbank-tenant"] = tenantB
	}
	var items []item
	for i := range tenantItems {
		x := newItem(fmt.Sprintf("item-%d", i), fmt.Sprintf("g%d", i/4))
		for k, v := range header {
			x.Headers[k] = v
		}
		items = append(items, x)
	}
	for i := range s.size.entry {
		s.once(i, "POST", "/lohu930/x", fmt.Sprintf("plain-%d", i), keyA, 1500*time.Millisecond, []byte("b"), header)
	}
	if err := s.submit("step-1", keyA, 1, items); err != nil {
		return nil, err
	}
	results := s.readAll("step-1", keyA, tenantItems, 12*time.Second)
	s.end("step-1", keyA)
	mu.Lock()
	defer mu.Unlock()
	if len(results) < tenantItems {
		return nil, fmt.Errorf("%d of %d results", len(results), tenantItems)
	}
	return broken, nil
}
