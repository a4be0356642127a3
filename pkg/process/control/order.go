package control

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"golang.org/x/net/http/httpguts"
)

// Headers of an order. The platform, and the engines that check fencing tokens, refuse an
// order whose fencing token is lower than the highest one that they have received.
const (
	fenceHeader  = "X-Fence"
	numberHeader = "X-Number"
)

// maxAnswerBytes bounds the header of the answer to an order, and its body.
const maxAnswerBytes = 64 << 10

// RefusedOrderError reports an order that its receiver did not answer with status 200.
type RefusedOrderError struct {
	URL    string
	Status int
}

func (e *RefusedOrderError) Error() string {
	return fmt.Sprintf("order refused by %s with status %d", e.URL, e.Status)
}

// FieldNameError reports an answer to an order with a field whose name is no token (RFC 9110, section 5.1).
type FieldNameError struct{ Name string }

func (e *FieldNameError) Error() string {
	return fmt.Sprintf("answer has a field with the invalid name %q", e.Name)
}

// NoLeaseError reports an order that was not sent because the lease has ended or ends too
// soon.
type NoLeaseError struct{ Remaining time.Duration }

func (e *NoLeaseError) Error() string { return "order not sent: lease ends in " + e.Remaining.String() }

// postOrder sends one order, or one usage report, and returns the answer. The lease is
// checked right before the request is written, and the deadline of the request is before
// the end of the lease.
func (s *Server) postOrder(ctx context.Context, url string, number uint64, body []byte) ([]byte, error) {
	term, remaining, ok := s.node.HoldsLease()
	if !ok || remaining <= orderLeaseMargin {
		return nil, &NoLeaseError{Remaining: remaining}
	}
	ctx, cancel := context.WithTimeout(ctx, remaining-orderLeaseMargin)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil // the transport must not resend an order on its own
	req.Close = true
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(fenceHeader, fmt.Sprint(term))
	req.Header.Set(numberHeader, fmt.Sprint(number))
	res, err := s.orderClient.Do(req)
	if err != nil {
		return nil, err
	}
	return readAnswer(res)
}

// readAnswer reads the answer to an order. The client tolerates names of fields with blanks; such an answer
// may have another length than it seems.
func readAnswer(res *http.Response) ([]byte, error) {
	defer res.Body.Close()
	for name := range res.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return nil, &FieldNameError{Name: name}
		}
	}
	answer, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
	if err != nil {
		return nil, err
	}
	if res.StatusCode != http.StatusOK {
		return answer, &RefusedOrderError{URL: res.Request.URL.String(), Status: res.StatusCode}
	}
	return answer, nil
}

// guardedConn checks the lease before every write. Otherwise a process that is suspended
// between the check in postOrder and the write would send the order after its lease ended.
type guardedConn struct {
	net.Conn
	holdsLease func() (term uint64, remaining time.Duration, ok bool)
	term       uint64
}

// Write writes p if the process still holds the lease of the order's term.
func (c *guardedConn) Write(p []byte) (int, error) {
	if term, remaining, ok := c.holdsLease(); !ok || term != c.term {
		return 0, &NoLeaseError{Remaining: remaining}
	}
	return c.Conn.Write(p)
}

// newOrderClient returns a client that uses connections of type guardedConn.
func (s *Server) newOrderClient() *http.Client {
	d := &net.Dialer{}
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		term, remaining, ok := s.node.HoldsLease()
		if !ok {
			return nil, &NoLeaseError{Remaining: remaining}
		}
		c, err := d.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &guardedConn{Conn: c, holdsLease: s.node.HoldsLease, term: term}, nil
	}
	return &http.Client{Transport: &http.Transport{DialContext: dial, MaxResponseHeaderBytes: maxAnswerBytes}}
}
