package core

import (
	"fmt"
	"testing"
)

// TestAbandonedIDsAreBounded tests that an id is remembered for abandonedMemoryMs after it was last added, and that the number of
// ids is limited.
func TestAbandonedIDsAreBounded(t *testing.T) {
	ids := newAbandonedIDs()
	ids.add("a", 1000)
	ids.add("b", 1000)
	ids.add("a", 2000)
	for _, c := range []struct {
		id   string
		at   float64
		want bool
	}{{"a", 2000, true}, {"c", 2000, false}, {"b", 1000 + abandonedMemoryMs - 1, true}, {"b", 1000 + abandonedMemoryMs, false},
		{"a", 1000 + abandonedMemoryMs, true}, {"a", 2000 + abandonedMemoryMs, false}} {
		if got := ids.contains(c.id, c.at); got != c.want {
			t.Errorf("id %s at %v: %v, want %v", c.id, c.at, got, c.want)
		}
	}
	if len(ids.latest) != 0 || len(ids.entries) != 0 {
		t.Errorf("%d ids and %d entries are left, want none", len(ids.latest), len(ids.entries))
	}
	for n := range 2 * maxAbandonedIDs {
		ids.add(fmt.Sprint(n), 100000)
	}
	if len(ids.latest) != maxAbandonedIDs || len(ids.entries) != maxAbandonedIDs {
		t.Errorf("%d ids and %d entries, want maxAbandonedIDs", len(ids.latest), len(ids.entries))
	}
}
