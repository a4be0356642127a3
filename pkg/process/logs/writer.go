package logs

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxBufferedBytes limits the lines that wait to be written.
	maxBufferedBytes = 256 << 10
	// closeTimeout limits how long Close waits for the last lines to be written.
	closeTimeout = 500 * time.Millisecond
)

// Writer writes lines to a file in the background, so that Write never blocks.
// Lines that do not fit into the buffer are dropped and counted.
type Writer struct {
	out     io.Writer
	mu      sync.Mutex
	buf     []byte
	dropped int
	wake    chan struct{}
	closed  bool
	done    chan struct{}
}

// NewWriter returns a Writer to out and starts its goroutine. Close stops it.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write buffers one line, or drops it if the buffer is full or w is closed. It
// never returns an error.
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

// run writes the buffered lines. A failed write is counted as one dropped line, as
// there is no other place to report it.
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

// Close writes the buffered lines and stops w. It returns after closeTimeout if
// the lines have not been written by then.
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
