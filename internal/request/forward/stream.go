package forward

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/plantainbank/plantainbank/internal/connection/placement"
	"github.com/plantainbank/plantainbank/pkg/request/attempt"
)

// gapTimeout is the longest time between two events of a caller's stream: a
// load of weights may stand between them. Callers leave after two seconds.
const gapTimeout = 2 * time.Second

// Stream passes the events of a server on as they come. Only whole events are
// passed on, so that a broken stream can go on elsewhere after the last one.
type Stream struct {
	f      *Forwarder
	s      *state
	slot   placement.Slot
	answer *attempt.Answer
	cancel context.CancelFunc
	// ctx ends when the caller leaves; done ends the request.
	ctx    context.Context
	done   func()
	lastID []byte
	events int
}

func newStream(f *Forwarder, s *state, slot placement.Slot, a *attempt.Answer, cancel context.CancelFunc) *Stream {
	return &Stream{f: f, s: s, slot: slot, answer: a, cancel: cancel, lastID: bytes.Clone(s.Raw.Header.Peek(f.cfg.Headers.LastEventID))}
}

// Copy writes the stream to w until its end. An error means that the stream
// is not whole; the caller's connection must be closed then.
func (x *Stream) Copy(w *bufio.Writer) error {
	defer x.done()
	for {
		err := x.copyOne(w)
		if err == nil {
			return nil
		}
		if x.ctx.Err() != nil || !x.resume(err) {
			x.f.cfg.Log.WithFields(logrus.Fields{"request": x.s.ID, "instance": x.slot.ID, "events": x.events}).
				WithError(err).Info("stream broke")
			return err
		}
	}
}

// copyOne passes one server's events on.
func (x *Stream) copyOne(w *bufio.Writer) error {
	x.answer.SetIdleTimeout(gapTimeout)
	br := bufio.NewReader(x.answer.Body)
	for {
		event, id, err := readEvent(br)
		if errors.Is(err, io.EOF) && len(event) == 0 {
			x.end(placement.Served)
			return nil
		}
		if err != nil {
			x.end(placement.Interrupted)
			return err
		}
		if _, err := w.Write(event); err != nil {
			x.end(placement.Abandoned)
			return ErrDisconnected
		}
		if err := w.Flush(); err != nil {
			x.end(placement.Abandoned)
			return ErrDisconnected
		}
		x.events++
		if id != nil {
			x.lastID = id
		}
	}
}

func (x *Stream) end(o placement.Outcome) {
	x.answer.Close(o == placement.Served)
	x.cancel()
	now := time.Now()
	x.f.cfg.Table.Done(x.slot, o, 0, now)
}

// resume opens the stream at another server after the last whole event.
func (x *Stream) resume(cause error) bool {
	if errors.Is(cause, ErrDisconnected) || !x.s.Route.Resumable {
		return false
	}
	x.s.avoid[x.slot.ID] = true
	if len(x.lastID) > 0 {
		x.s.Raw.Header.SetBytesV(x.f.cfg.Headers.LastEventID, x.lastID)
	}
	for x.f.again(x.ctx, x.s) {
		slot, ok := x.f.place(x.ctx, x.s)
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
		x.slot, x.answer, x.cancel = slot, a.Stream.answer, a.Stream.cancel
		return true
	}
	return false
}

// readEvent returns the bytes of one whole event and its number. At the end
// of the stream it returns io.EOF and no bytes.
func readEvent(br *bufio.Reader) (event, id []byte, err error) {
	for {
		line, err := br.ReadSlice('\n')
		event = append(event, line...)
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			if errors.Is(err, io.EOF) && len(event) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return event, nil, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			id = bytes.Clone(bytes.TrimSpace(value))
		}
		if len(text) > 0 {
			continue
		}
		if len(bytes.TrimSpace(event)) > 0 {
			return event, id, nil
		}
		event = event[:0]
	}
}
