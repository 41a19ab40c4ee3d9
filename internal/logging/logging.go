// Package logging writes log lines without ever holding up who logs: a stream that is full, slow or broken costs lines, which are
// counted, and never an answer. It owns the goroutine that writes.
package logging

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// maxBuffered bounds, in bytes, the lines that wait for the stream.
const maxBuffered = 1 << 20

// Writer is an io.Writer that never blocks and never fails. It keeps the order of lines.
type Writer struct {
	out  io.Writer
	wake chan struct{}

	mu      sync.Mutex
	lines   []byte // that wait
	dropped int    // lines that found no room, or that the stream did not take
	busy    bool   // the goroutine is writing
}

// NewWriter makes a Writer that writes to out, for as long as the process runs.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1)}
	go w.run()
	return w
}

// Write takes one line. It is io.Writer's.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	if len(w.lines)+len(line) > maxBuffered {
		w.dropped++
	} else {
		w.lines = append(w.lines, line...)
	}
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// run writes what waits.
func (w *Writer) run() {
	for range w.wake {
		for lines := w.take(); len(lines) > 0; lines = w.take() {
			if _, err := w.out.Write(lines); err != nil {
				w.lost()
			}
		}
	}
}

// take takes what waits; with nothing to take, the goroutine is not busy any more.
func (w *Writer) take() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	lines := w.lines
	w.lines = nil
	if w.dropped > 0 && len(lines) > 0 {
		lines = fmt.Appendf(lines, "level=WARN msg=\"log lines were lost\" lines=%d\n", w.dropped)
		w.dropped = 0
	}
	w.busy = len(lines) > 0
	return lines
}

// lost counts a write that the stream did not take whole.
func (w *Writer) lost() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropped++
}

// Flush waits until all is written, or for so long.
func (w *Writer) Flush(most time.Duration) {
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(time.Millisecond) {
		w.mu.Lock()
		done := len(w.lines) == 0 && !w.busy
		w.mu.Unlock()
		if done {
			return
		}
	}
}
