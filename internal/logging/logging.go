// Package logging writes log lines without ever blocking the caller. If the output stream is full, slow or broken, lines are
// dropped and counted, so that logging never delays an answer. The package runs the goroutine that writes.
package logging

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// maxBufferedBytes limits the size of the lines that wait for the stream.
const maxBufferedBytes = 1 << 20

// Writer is an io.Writer that never blocks and never fails. It keeps the order of lines.
type Writer struct {
	out  io.Writer
	wake chan struct{}

	mu       sync.Mutex
	buffered []byte // lines that wait for the stream
	dropped  int    // lines that exceeded the limit, and failed writes, since the last report
	writing  bool   // the goroutine is writing to the stream
}

// NewWriter returns a Writer that writes to out. Its goroutine runs until the process exits.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1)}
	go w.run()
	return w
}

// Write queues one line. It implements io.Writer.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	if len(w.buffered)+len(line) > maxBufferedBytes {
		w.dropped++
	} else {
		w.buffered = append(w.buffered, line...)
	}
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// run writes queued lines to the stream.
func (w *Writer) run() {
	for range w.wake {
		for lines := w.takeBuffered(); len(lines) > 0; lines = w.takeBuffered() {
			if _, err := w.out.Write(lines); err != nil {
				w.countFailedWrite()
			}
		}
	}
}

// takeBuffered returns the queued lines and empties the queue, with a warning if lines were dropped. It clears writing if
// there are none.
func (w *Writer) takeBuffered() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	lines := w.buffered
	w.buffered = nil
	if w.dropped > 0 && len(lines) > 0 {
		lines = fmt.Appendf(lines, "level=WARN msg=\"log lines were lost\" lines=%d\n", w.dropped)
		w.dropped = 0
	}
	w.writing = len(lines) > 0
	return lines
}

// countFailedWrite counts a write that the stream did not accept in full.
func (w *Writer) countFailedWrite() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropped++
}

// Flush waits until all lines are written, but no longer than timeout.
func (w *Writer) Flush(timeout time.Duration) {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		w.mu.Lock()
		done := len(w.buffered) == 0 && !w.writing
		w.mu.Unlock()
		if done {
			return
		}
	}
}
