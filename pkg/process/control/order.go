package control

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Headers of an order. The platform and engines that check the fencing number
// refuse one that is lower than the highest they have seen.
const (
	fenceHeader  = "X-Fence"
	numberHeader = "X-Number"
)

// RefusedOrderError reports an order that its receiver did not take.
type RefusedOrderError struct {
	URL    string
	Status int
}

func (e *RefusedOrderError) Error() string {
	return fmt.Sprintf("%s answered %d", e.URL, e.Status)
}

// NoLeaseError reports an order that was not sent, since the lease is too short.
type NoLeaseError struct{ Remaining time.Duration }

func (e *NoLeaseError) Error() string { return "order not sent, lease left " + e.Remaining.String() }

// post sends one order. The lease is checked right before the request is
// written, and the request ends before the lease does.
func (s *Server) post(ctx context.Context, url string, number uint64, body []byte) ([]byte, error) {
	term, left, ok := s.node.HoldsLease()
	if !ok || left <= sendMargin {
		return nil, &NoLeaseError{Remaining: left}
	}
	ctx, cancel := context.WithTimeout(ctx, left-sendMargin)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil // the transport must not send an order twice by itself
	req.Close = true
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(fenceHeader, fmt.Sprint(term))
	req.Header.Set(numberHeader, fmt.Sprint(number))
	res, err := s.orders.Do(req)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(res.Body, 1<<16))
	if err != nil {
		return nil, err
	}
	if res.StatusCode != http.StatusOK {
		return answer, &RefusedOrderError{URL: url, Status: res.StatusCode}
	}
	return answer, nil
}

// guardedConn checks the lease before every write, so that an order whose
// process was frozen on its way to the socket does not leave it later.
type guardedConn struct {
	net.Conn
	holds func() (term uint64, left time.Duration, ok bool)
	term  uint64
}

// Write writes p while the lease of the order's term is held.
func (c *guardedConn) Write(p []byte) (int, error) {
	if term, left, ok := c.holds(); !ok || term != c.term {
		return 0, &NoLeaseError{Remaining: left}
	}
	return c.Conn.Write(p)
}

// newOrderClient returns a client whose connections are guarded.
func (s *Server) newOrderClient() *http.Client {
	d := &net.Dialer{}
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		term, left, ok := s.node.HoldsLease()
		if !ok {
			return nil, &NoLeaseError{Remaining: left}
		}
		c, err := d.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &guardedConn{Conn: c, holds: s.node.HoldsLease, term: term}, nil
	}
	return &http.Client{Transport: &http.Transport{DialContext: dial}}
}
