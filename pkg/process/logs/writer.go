package logs

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// waitingMost is the bytes of lines that may wait to be written.
	maxBufferedBytes = 256 << 10
	// closeTimeout bounds the writing of the last lines.
	closeTimeout = 500 * time.Millisecond
)

// Writer passes lines on to a file without ever blocking: what does not fit
// its buffer is dropped and counted.
type Writer struct {
	out     io.Writer
	mu      sync.Mutex
	buf     []byte
	dropped int
	wake    chan struct{}
	closed  bool
	done    chan struct{}
}

// NewWriter returns a writer to out. Close ends it.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write takes one line.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	if w.closed || len(w.buf)+len(line) > maxBufferedBytes {
		w.dropped++
	} else {
		w.buf = append(w.buf, line...)
	}
	w.mu.Unlock()
	w.wakeUp()
	return len(line), nil
}

func (w *Writer) wakeUp() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// run writes what waits. A failed write is counted like a dropped line: there
// is no other place to tell of it.
func (w *Writer) run() {
	defer close(w.done)
	for range w.wake {
		lines, dropped, closed := w.takeBuffered()
		if dropped > 0 {
			lines = fmt.Appendf(lines, "{\"level\":\"warning\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", dropped)
		}
		if len(lines) > 0 {
			if _, err := w.out.Write(lines); err != nil {
				w.mu.Lock()
				w.dropped++
				w.mu.Unlock()
			}
		}
		if closed {
			return
		}
	}
}

func (w *Writer) takeBuffered() (lines []byte, dropped int, closed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	lines, dropped, closed = w.buf, w.dropped, w.closed
	w.buf, w.dropped = nil, 0
	return lines, dropped, closed
}

// Close writes what waits, as far as that takes no longer than half a second.
func (w *Writer) Close() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	w.wakeUp()
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}
