package main

import (
	"errors"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// Times of replacedThenDiskLost.
const (
	// successorAhead is how long the new storage host runs before the one that it replaces is stopped.
	successorAhead = 5 * time.Second
	// afterRemoval is how long after the end of the replaced host another one loses its disk.
	afterRemoval = 4420 * time.Millisecond
	// recovery is the time after the last disruption from which all is judged.
	recovery = 25 * time.Second
)

// begin starts the site with workers, and waits until a first configuration and a batch are served.
func (s *site) begin(engines, plain int) ([]*worker, error) {
	if err := s.startCloud(); err != nil {
		return nil, err
	}
	if err := s.startAll(); err != nil {
		return nil, err
	}
	if status, _ := s.operate(http.MethodPost, "/v1/config/put", config(1), 15*time.Second); status != http.StatusOK {
		return nil, errors.New("the first configuration was not accepted")
	}
	var out []*worker
	for i := range engines {
		w, err := s.newWorker(fmt.Sprintf("i-7f3a91c%d", i), "huvo11a", model, i%3, i/3)
		if err != nil {
			return nil, err
		}
		out = append(out, w)
	}
	for i := range plain {
		w, err := s.newWorker(fmt.Sprintf("i-02d9e6b%d", i), "wuno96b", "", i%3, 4+i/3)
		if err != nil {
			return nil, err
		}
		out = append(out, w)
	}
	if !s.submit("first", 8, 20*time.Second) {
		return nil, errors.New("the first batch was not accepted")
	}
	if n, _ := s.readAll("first", 8, 20*time.Second); n != 8 {
		return nil, errors.New("the first batch was not run")
	}
	return out, nil
}

// replacedThenDiskLost replaces a storage host as planned, the new one first, and lets another one lose its disk
// once the successor has had catch_up_s and the replaced one has been gone for catch_up_s. A batch is accepted
// shortly before, and is at work.
func replacedThenDiskLost(s *site, trouble bool) error {
	workers, err := s.begin(4, 0)
	if err != nil {
		return err
	}
	time.Sleep(contact)
	for _, w := range workers {
		w.events, w.pause = 40, 400*time.Millisecond // 16 s of work for an item
	}
	if trouble {
		err = s.replaceAndLose()
	} else {
		time.Sleep(successorAhead + afterRemoval)
		err = s.submitOpen()
	}
	if err != nil {
		return err
	}
	time.Sleep(recovery)
	results, status := s.readAll("open", openItems, 15*time.Second)
	body := 0
	if results < openItems {
		body = s.itemBody("open", "open-000")
	}
	accepted := s.submit("after", 8, 12*time.Second)
	if results < openItems || !accepted {
		return fmt.Errorf("%w: LOST: %d of %d results of an accepted batch can be read (last status %d), its item's body has status %d, a new batch is accepted: %v",
			errBroken, results, openItems, status, body, accepted)
	}
	return nil
}

// openItems is the number of items of the batch that is open when the disk is lost.
const openItems = 8

func (s *site) submitOpen() error {
	if !s.submit("open", openItems, 3*time.Second) {
		return errors.New("the batch was not accepted")
	}
	return nil
}

// itemBody asks each edge host for the body of an item and returns the best status.
func (s *site) itemBody(batch, item string) (best int) {
	for _, h := range s.of("edge") {
		status, _ := s.request(h, http.MethodGet, "/v1/items/"+batch+"?id="+item, "", nil, nil, 5*time.Second)
		s.rec.add("body", "item", item, "host", h.name, "status", status)
		if best == 0 || status == http.StatusOK {
			best = status
		}
	}
	return best
}

func (s *site) replaceAndLose() error {
	lead := s.storeLeader()
	if lead == nil {
		return errors.New("no storage host leads")
	}
	var old *host
	for _, h := range s.of("storage") {
		if h != lead {
			old = h
		}
	}
	gone, err := s.replacePlanned(old, 2)
	if err != nil {
		return err
	}
	time.Sleep(time.Until(gone.Add(afterRemoval - time.Second)))
	if err := s.submitOpen(); err != nil {
		return err
	}
	time.Sleep(time.Until(gone.Add(afterRemoval)))
	return s.loseDisk(lead)
}

// replacePlanned starts a new host in the zone of an old one, stops the old one once its successor has run for
// catch_up_s, and returns when it has ended. n is the number of the new host in its zone.
func (s *site) replacePlanned(old *host, n int) (gone time.Time, err error) {
	zone := 0
	for i, z := range zoneNames {
		if z == old.zone {
			zone = i
		}
	}
	if err := s.start(s.addHost(old.class, zone, n), false); err != nil {
		return gone, err
	}
	time.Sleep(successorAhead)
	s.signal(old, syscall.SIGTERM)
	if !old.await(8 * time.Second) {
		return gone, errors.New("the replaced host has not stopped")
	}
	gone = time.Now()
	s.rec.add("removed", "host", old.name)
	return gone, s.wipe(old)
}

// loseDisk kills the process of a host, and starts it a second later with an empty data folder.
func (s *site) loseDisk(h *host) error {
	s.signal(h, syscall.SIGKILL)
	if !h.await(5 * time.Second) {
		return errors.New("the killed host has not ended")
	}
	if err := s.wipe(h); err != nil {
		return err
	}
	time.Sleep(time.Second)
	return s.start(h, false)
}

// coreReplacedThenDiskLost does the same to the core: a host that stores the configuration is replaced as planned, and
// the one that acknowledges changes loses its disk.
func coreReplacedThenDiskLost(s *site, trouble bool) error {
	if _, err := s.begin(2, 0); err != nil {
		return err
	}
	time.Sleep(contact)
	if trouble {
		lead := s.controlLeader()
		var old *host
		for _, z := range zoneNames {
			if h := s.hosts["core-"+z+"-1"]; h != lead { // the seeds store the configuration
				old = h
			}
		}
		if lead == nil || old == nil {
			return errors.New("no core host leads")
		}
		gone, err := s.replacePlanned(old, 3)
		if err != nil {
			return err
		}
		time.Sleep(time.Until(gone.Add(afterRemoval - 500*time.Millisecond)))
		if status, _ := s.operate(http.MethodPost, "/v1/config/put", config(2), 3*time.Second); status != http.StatusOK {
			return errors.New("the second configuration was not accepted")
		}
		time.Sleep(time.Until(gone.Add(afterRemoval)))
		if err := s.loseDisk(lead); err != nil {
			return err
		}
	} else if status, _ := s.operate(http.MethodPost, "/v1/config/put", config(2), 3*time.Second); status != http.StatusOK {
		return errors.New("the second configuration was not accepted")
	}
	time.Sleep(recovery)
	read, answer := s.operate(http.MethodGet, "/v1/config/get", nil, 15*time.Second)
	put, _ := s.operate(http.MethodPost, "/v1/config/put", config(3), 15*time.Second)
	if read != http.StatusOK || put != http.StatusOK {
		return fmt.Errorf("%w: CONFIG: the configuration that was acknowledged does not come (status %d), and a new one gets no ack (status %d)", errBroken, read, put)
	}
	s.rec.add("configuration read back", "bytes", len(answer))
	return nil
}
