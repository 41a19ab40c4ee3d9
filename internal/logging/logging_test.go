package logging

import (
	"bytes"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"
)

// fakeStream blocks writes until unblock is closed, and fails them while fail is set.
type fakeStream struct {
	unblock chan struct{}
	mu      sync.Mutex
	fail    bool
	written bytes.Buffer
}

func (s *fakeStream) Write(b []byte) (int, error) {
	<-s.unblock
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fail {
		return 0, errors.New("no space left on device")
	}
	return s.written.Write(b)
}

func (s *fakeStream) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written.String()
}

const flushTimeout = 20 * time.Second

// TestBlockedStreamDoesNotBlockWriters checks that lines beyond the buffer limit are dropped and counted while the stream
// blocks, and that no line is split or out of order.
func TestBlockedStreamDoesNotBlockWriters(t *testing.T) {
	s := &fakeStream{unblock: make(chan struct{})}
	w := NewWriter(s)
	line := []byte(strings.Repeat("x", 999) + "\n")
	for range 3 * maxBufferedBytes / len(line) {
		if n, err := w.Write(line); n != len(line) || err != nil {
			t.Fatalf("Write returned %d and error %v, want the length of the line and no error", n, err)
		}
	}
	close(s.unblock)
	w.Flush(flushTimeout)
	_, _ = w.Write([]byte("last\n"))
	w.Flush(flushTimeout)
	lines := strings.Split(s.String(), "\n")
	if !strings.Contains(s.String(), "log lines were lost") ||
		!strings.HasSuffix(s.String(), "last\n") && !strings.Contains(s.String(), "last\nlevel=WARN") {
		t.Errorf("the stream ends with %q, want the last line and a report of lost lines", lines[max(0, len(lines)-4):])
	}
	for _, got := range lines {
		if strings.HasPrefix(got, "x") && len(got) != 999 {
			t.Fatalf("a line of %d bytes, want 999", len(got))
		}
	}
}

// TestFailingStreamCausesNoWriteError checks that a failing stream loses its lines without an error to the caller, and that
// later lines are written with a report of the loss.
func TestFailingStreamCausesNoWriteError(t *testing.T) {
	s := &fakeStream{unblock: make(chan struct{}), fail: true}
	close(s.unblock)
	w := NewWriter(s)
	if _, err := w.Write([]byte("lost\n")); err != nil {
		t.Fatal(err)
	}
	w.Flush(flushTimeout)
	s.mu.Lock()
	s.fail = false
	s.mu.Unlock()
	_, _ = w.Write([]byte("kept\n"))
	w.Flush(flushTimeout)
	if got := s.String(); strings.Contains(got, "lost\n") || !strings.Contains(got, "kept\n") ||
		!strings.Contains(got, "log lines were lost") {
		t.Errorf("the stream received %q, want the second line and a report of lost lines", got)
	}
}
