package forward

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"slices"
	"time"
	"unicode/utf8"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/plantainbank/plantainbank/internal/connection/placement"
	"github.com/plantainbank/plantainbank/pkg/request/attempt"
)

const (
	// gapTimeout bounds the time between two events of a stream that can go on at another server; the
	// server may load weights between them. Callers disconnect after 2 s or more.
	gapTimeout = 2 * time.Second
	// maxEventBytes is the maximum number of bytes from one event to the next, with framing.
	maxEventBytes = 1 << 20
	// smallEventBytes is the size up to which an event that is not whole is not counted as buffered.
	smallEventBytes = 16 << 10
)

// errNotUTF8 reports an event that is not part of any response: event streams are UTF-8.
var errNotUTF8 = errors.New("event is not valid UTF-8")

// Stream forwards the events of a server as they arrive. Only complete events are
// forwarded, so that a broken stream can resume at another server after the last one.
type Stream struct {
	f        *Forwarder
	s        *requestState
	slot     placement.Slot
	response *attempt.Response
	cancel   context.CancelFunc
	// ctx ends when the caller disconnects; endRequest ends the request.
	ctx        context.Context
	endRequest func()
	lastID     []byte
	events     int
	// relayed is true if the events come through another entry host, which does all that belongs to
	// the server.
	relayed bool
	// begins is true if the stream starts at its beginning, false if the caller takes it up.
	begins bool
}

// newStream returns a stream that outlives the handler of its request. It has a copy of the request:
// the HTTP server reuses what the handler has once the caller has left.
func newStream(f *Forwarder, s *requestState, slot placement.Slot, a *attempt.Response, cancel context.CancelFunc) *Stream {
	raw, request := &fasthttp.Request{}, *s.Request
	s.Raw.CopyTo(raw)
	request.Raw = raw
	s.Request = &request
	lastID := bytes.Clone(s.Raw.Header.Peek(f.cfg.Headers.LastEventID))
	return &Stream{f: f, s: s, slot: slot, response: a, cancel: cancel, lastID: lastID, begins: len(lastID) == 0}
}

// Copy writes the stream to w until its end. An error means that the stream is incomplete;
// the connection to the caller must then be closed.
func (x *Stream) Copy(w *bufio.Writer) error {
	defer x.endRequest()
	for {
		err := x.copyFromServer(w)
		if err == nil {
			return nil
		}
		if x.ctx.Err() != nil || !x.resume(err) {
			fields := logrus.Fields{"request": x.s.ID, "instance": x.slot.ID, "events": x.events}
			if x.closedByServer(err) {
				fields["fingerprint"] = x.s.fingerprint().String()
			}
			x.f.cfg.Log.WithFields(fields).WithError(err).Info("stream broke")
			return err
		}
	}
}

// copyFromServer forwards the events of the current server.
func (x *Stream) copyFromServer(w *bufio.Writer) error {
	x.response.Expect(maxEventBytes, x.maxGap())
	br := bufio.NewReader(x.response.Body)
	buffered := x.f.cfg.Client.Reserve()
	defer buffered.Release()
	for {
		block, err := readBlock(br, buffered)
		if errors.Is(err, io.EOF) && len(block.bytes) == 0 {
			x.endAttempt(placement.Served)
			if !x.relayed {
				x.f.cfg.Guard.Served(x.s.subject())
			}
			return nil
		}
		if err == nil && x.s.Route.Resumable && !utf8.Valid(block.bytes) {
			err = errNotUTF8 // another server may produce the event again
		}
		if err != nil {
			outcome := placement.Interrupted
			if x.ctx.Err() != nil {
				outcome = placement.Abandoned // the caller has left
			}
			x.endAttempt(outcome)
			if x.closedByServer(err) {
				x.f.cfg.Guard.Ended(x.s.subject(), x.slot.ID, x.slot.Born)
			}
			return err
		}
		if block.event {
			x.response.Expect(maxEventBytes, x.maxGap())
		}
		if block.event && x.events == 0 && x.begins && !x.relayed && x.f.cfg.OnStream != nil {
			x.f.cfg.OnStream(x.s.Request, x.slot.Service, x.slot.Software)
		}
		if _, err := w.Write(block.bytes); err != nil {
			x.endAttempt(placement.Abandoned)
			return ErrDisconnected
		}
		if err := w.Flush(); err != nil {
			x.endAttempt(placement.Abandoned)
			return ErrDisconnected
		}
		buffered.Release()
		if block.event {
			x.events++
		}
		if block.id != nil {
			x.lastID = block.id
		}
	}
}

// maxGap returns the longest time until the next event, zero if only the deadline of the request bounds it: a
// stream that cannot go on elsewhere is not cut because its server is silent.
func (x *Stream) maxGap() time.Duration {
	if x.relayed || !x.s.Route.Resumable || !x.f.mayRetry(x.ctx, x.s) {
		return 0
	}
	return gapTimeout
}

func (x *Stream) closedByServer(err error) bool {
	return x.ctx.Err() == nil && !x.relayed && attempt.ClosedByServer(err)
}

func (x *Stream) endAttempt(o placement.Outcome) {
	x.response.Close(o == placement.Served)
	x.cancel()
	if !x.relayed {
		x.f.cfg.Table.Done(x.slot, o, 0, time.Now())
	}
}

// resume reopens the stream at another server after the last complete event.
func (x *Stream) resume(cause error) bool {
	if errors.Is(cause, ErrDisconnected) || !x.s.Route.Resumable || x.relayed {
		return false
	}
	x.s.avoid[x.slot.ID] = true
	if x.events > 0 {
		software := x.slot.Software
		x.s.Software = &software
	}
	if len(x.lastID) > 0 {
		x.s.Raw.Header.SetBytesV(x.f.cfg.Headers.LastEventID, x.lastID)
	}
	for x.f.mayRetry(x.ctx, x.s) {
		if x.f.unlinked(x.s) {
			return x.resumeRelayed()
		}
		slot, ok := x.f.takeSlot(x.ctx, x.s)
		if !ok && x.f.unlinked(x.s) {
			continue
		}
		if !ok {
			return false
		}
		a, done := x.f.try(x.ctx, x.s, slot)
		if !done {
			continue
		}
		if a.Stream == nil {
			return false
		}
		x.f.cfg.Log.WithFields(logrus.Fields{"request": x.s.ID, "before": x.slot.ID, "software_before": x.slot.Software, "instance": slot.ID,
			"software": slot.Software, "events": x.events}).Info("stream goes on at another server")
		x.slot, x.response, x.cancel = slot, a.Stream.response, a.Stream.cancel
		return true
	}
	return false
}

// resumeRelayed goes on with the stream through another host, which asks control where the stream has
// begun.
func (x *Stream) resumeRelayed() bool {
	if name := x.f.cfg.Headers.Resumes; x.events > 0 && x.begins {
		if name == "" {
			return false
		}
		x.s.Raw.Header.Set(name, x.s.ID)
	}
	a := x.f.relay(x.ctx, x.s)
	if a.Stream == nil {
		return false
	}
	x.f.cfg.Log.WithFields(logrus.Fields{"request": x.s.ID, "before": x.slot.ID, "events": x.events}).Info("stream goes on through another host")
	x.response, x.cancel, x.relayed = a.Stream.response, a.Stream.cancel, true
	return true
}

// block is what a stream has up to a blank line.
type block struct {
	bytes []byte
	// id is nil if the block has none.
	id []byte
	// event is false for a block without data, such as a comment that keeps the connection alive.
	event bool
}

// readBlock returns one complete block, and counts a large one as buffered. At the end of the stream it returns
// io.EOF and no bytes.
func readBlock(br *bufio.Reader, buffered *attempt.Reservation) (b block, err error) {
	start := 0 // of the current line
	for {
		line, err := br.ReadSlice('\n')
		if n := len(b.bytes) + len(line); n > cap(b.bytes) && n > smallEventBytes {
			// Growing holds the event twice.
			if err := buffered.Grow(int64(3 * n)); err != nil {
				return block{}, err
			}
			b.bytes = slices.Grow(b.bytes, n)
		}
		b.bytes = append(b.bytes, line...)
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			if errors.Is(err, io.EOF) && len(b.bytes) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return b, err
		}
		text := bytes.TrimRight(b.bytes[start:], "\r\n")
		start = len(b.bytes)
		switch name, value, _ := bytes.Cut(text, []byte(":")); string(name) {
		case "id":
			b.id = append([]byte{}, bytes.TrimSpace(value)...)
		case "data":
			b.event = true
		}
		if len(text) > 0 {
			continue
		}
		if len(bytes.TrimSpace(b.bytes)) > 0 {
			return b, nil
		}
		b, start = block{bytes: b.bytes[:0]}, 0
	}
}
