package logging

import (
	"bytes"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"
)

// stream takes writes when it is let, and fails when it is told.
type stream struct {
	gate chan struct{}
	mu   sync.Mutex
	fail bool
	got  bytes.Buffer
}

func (s *stream) Write(b []byte) (int, error) {
	<-s.gate
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fail {
		return 0, errors.New("no space left on device")
	}
	return s.got.Write(b)
}

func (s *stream) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.String()
}

const patience = 20 * time.Second

// TestBlockedStreamHoldsNobodyUp: lines beyond what may wait are dropped and counted, and none is torn or out of order.
func TestBlockedStreamHoldsNobodyUp(t *testing.T) {
	s := &stream{gate: make(chan struct{})}
	w := NewWriter(s)
	line := []byte(strings.Repeat("x", 999) + "\n")
	for range 3 * maxBuffered / len(line) {
		if n, err := w.Write(line); n != len(line) || err != nil {
			t.Fatalf("wrote %d: %v", n, err)
		}
	}
	close(s.gate)
	w.Flush(patience)
	_, _ = w.Write([]byte("last\n"))
	w.Flush(patience)
	lines := strings.Split(s.String(), "\n")
	if !strings.Contains(s.String(), "log lines were lost") || !strings.HasSuffix(s.String(), "last\n") && !strings.Contains(s.String(), "last\nlevel=WARN") {
		t.Errorf("the stream ends with %q", lines[max(0, len(lines)-4):])
	}
	for _, got := range lines {
		if strings.HasPrefix(got, "x") && len(got) != 999 {
			t.Fatalf("a line of %d bytes", len(got))
		}
	}
}

// TestBrokenStreamIsNoError: a stream that fails costs its lines; later ones are written, with the count of what was lost.
func TestBrokenStreamIsNoError(t *testing.T) {
	s := &stream{gate: make(chan struct{}), fail: true}
	close(s.gate)
	w := NewWriter(s)
	if _, err := w.Write([]byte("lost\n")); err != nil {
		t.Fatal(err)
	}
	w.Flush(patience)
	s.mu.Lock()
	s.fail = false
	s.mu.Unlock()
	_, _ = w.Write([]byte("kept\n"))
	w.Flush(patience)
	if got := s.String(); strings.Contains(got, "lost\n") || !strings.Contains(got, "kept\n") || !strings.Contains(got, "log lines were lost") {
		t.Errorf("written: %q", got)
	}
}
