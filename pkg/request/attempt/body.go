package attempt

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"github.com/valyala/fasthttp"
)

// Limits of a response. A backend server may send bytes that are no response until its caller
// closes the connection.
const (
	// maxHeadBytes bounds the header of a response with the informational ones before it,
	// and its trailers.
	maxHeadBytes = 64 << 10
	// maxInformational is the number of informational responses before the final one.
	maxInformational = 8
	// defaultMaxBody is the limit of a body whose caller sets none.
	defaultMaxBody = 1 << 20
	// framingFactor bounds the bytes on the wire by the size of the body: chunks of a few
	// bytes have a header of about their own size.
	framingFactor = 4
	// readBytes is the size of the steps in which a body of unknown length is read.
	readBytes = 16 << 10
)

// errNoProgress reports a server that sent more bytes than a response, or a part of one, may
// have.
var errNoProgress = errors.New("server sent too many bytes without progress of its response")

// BodyLimitError reports a body that is larger than its limit in bytes.
type BodyLimitError struct{ Limit int64 }

func (e *BodyLimitError) Error() string { return fmt.Sprintf("body is larger than %d bytes", e.Limit) }

// BufferLimitError reports a body for which there was no space among those being received.
type BufferLimitError struct{ Limit int64 }

func (e *BufferLimitError) Error() string {
	return fmt.Sprintf("bodies being received would exceed %d bytes", e.Limit)
}

// readBody reads the complete body, or sets it up as a stream.
func (c *Client) readBody(res *fasthttp.Response, br *bufio.Reader, o Options) error {
	length := res.Header.ContentLength()
	switch {
	case res.SkipBody || hasNoBody(res.StatusCode()):
		return nil
	case length == closeDelimited && !o.CloseDelimited:
		return errCloseDelimited
	case length == closeDelimited && o.Stream:
		res.SetConnectionClose()
		res.SetBodyStream(br, closeDelimited)
		return nil
	case o.Stream:
		return res.ReadBody(br, 0)
	case length >= 0:
		return c.readSized(res, br, length, o.MaxBodyBytes)
	}
	return c.readUnsized(res, br, length, o.MaxBodyBytes)
}

// readSized reads a body with a length.
func (c *Client) readSized(res *fasthttp.Response, br *bufio.Reader, length, limit int) error {
	if length > limit {
		return &BodyLimitError{int64(limit)}
	}
	if err := c.reserve(int64(length)); err != nil {
		return err
	}
	defer c.buffered.Add(-int64(length))
	return res.ReadBody(br, limit)
}

// readUnsized reads a body that ends with its last chunk, or with the connection.
func (c *Client) readUnsized(res *fasthttp.Response, br *bufio.Reader, length, limit int) error {
	var r io.Reader = br
	if length == closeDelimited {
		res.SetConnectionClose()
	} else {
		res.StreamBody = true
		if err := res.ReadBody(br, 0); err != nil {
			return err
		}
		r = res.BodyStream()
	}
	body, err := c.readAll(r, limit)
	if err != nil {
		return err
	}
	if length != closeDelimited {
		if err := res.CloseBodyStream(); err != nil {
			return err
		}
		res.StreamBody = false
	}
	res.SetBodyRaw(body)
	return nil
}

// readAll reads up to the end of r, at most limit bytes.
func (c *Client) readAll(r io.Reader, limit int) (body []byte, err error) {
	reserved := int64(0)
	defer func() { c.buffered.Add(-reserved) }()
	for {
		if cap(body)-len(body) < readBytes/2 {
			grow := max(readBytes, cap(body))
			if err := c.reserve(int64(grow)); err != nil {
				return nil, err
			}
			reserved += int64(grow)
			body = append(make([]byte, 0, cap(body)+grow), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > limit:
			return nil, &BodyLimitError{int64(limit)}
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}

// Buffered returns how many bytes are counted as buffered.
func (c *Client) Buffered() int64 { return c.buffered.Load() }

// Reservation counts the bytes that one reader buffers with the bodies that are being received.
type Reservation struct {
	client *Client
	n      int64
}

// Reserve returns a reservation of no bytes.
func (c *Client) Reserve() *Reservation { return &Reservation{client: c} }

// Grow raises the reservation to n bytes. The error is a *BufferLimitError.
func (r *Reservation) Grow(n int64) error {
	if n <= r.n {
		return nil
	}
	if err := r.client.reserve(n - r.n); err != nil {
		return err
	}
	r.n = n
	return nil
}

// Release gives the bytes back.
func (r *Reservation) Release() {
	r.client.buffered.Add(-r.n)
	r.n = 0
}

// reserve counts bytes as buffered. Unless it fails, the caller subtracts them again.
func (c *Client) reserve(n int64) error {
	if total := c.buffered.Add(n); c.MaxBufferedBytes > 0 && total > c.MaxBufferedBytes {
		c.buffered.Add(-n)
		return &BufferLimitError{c.MaxBufferedBytes}
	}
	return nil
}

// closeDelimited is the content length that fasthttp returns for a body that ends with its
// connection; that of a chunked body is -1.
const closeDelimited = -2

var errCloseDelimited = errors.New("response has neither a length nor chunked encoding: its end cannot be distinguished from a lost connection")

func hasNoBody(status int) bool {
	return status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}
