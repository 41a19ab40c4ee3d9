package deadline

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestHeap: timers run in the order of their deadlines, then in the order in which they were added, and a stopped timer
// never runs. A timer that is added while Run runs waits for the next call: otherwise a timer that always adds itself again
// would block the loop.
func TestHeap(t *testing.T) {
	var h Heap
	var got []string
	record := func(s string) func() { return func() { got = append(got, s) } }
	h.Add(3, record("3"))
	h.Add(1, record("1a"))
	stopped := h.Add(1, record("stopped"))
	h.Add(1, func() { got = append(got, "1b"); h.Add(1, record("later")) })
	h.Stop(stopped)
	h.Stop(stopped)
	h.Stop(nil)
	h.Run(2)
	if diff := cmp.Diff([]string{"1a", "1b"}, got); diff != "" {
		t.Error(diff)
	}
	if at, ok := h.Next(); at != 1 || !ok {
		t.Errorf("next deadline at %v, want 1", at)
	}
	h.Run(3)
	if diff := cmp.Diff([]string{"1a", "1b", "later", "3"}, got); diff != "" {
		t.Error(diff)
	}
}
