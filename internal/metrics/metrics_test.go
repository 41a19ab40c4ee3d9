package metrics

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
)

// TestSet checks that counters add up by family and key, and that a line is logged only when a counter has changed.
func TestSet(t *testing.T) {
	s := New()
	s.Add(SyscallErrors, "accept4.EMFILE")
	s.Add(SyscallErrors, "accept4.EMFILE")
	s.Add(SyscallErrors, "read.EINTR")
	if got := s.Value(SyscallErrors, "accept4.EMFILE"); got != 2 {
		t.Errorf("counted %d, want 2", got)
	}
	if got := s.Sum(SyscallErrors); got != 3 {
		t.Errorf("sum %d, want 3", got)
	}
	if got := s.Value(Violations, "none"); got != 0 {
		t.Errorf("an empty counter is %d, want 0", got)
	}
	var out bytes.Buffer
	log := slog.New(slog.NewTextHandler(&out, nil))
	s.Log(log)
	s.Log(log)
	if n := strings.Count(out.String(), "msg=counters"); n != 1 || !strings.Contains(out.String(), `accept4.EMFILE\": 2`) {
		t.Errorf("logged %d lines, want one that counts accept4.EMFILE twice: %s", n, &out)
	}
}
