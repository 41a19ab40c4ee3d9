package slots

import "testing"

// TestStaleRefFindsNothing: a callback that is called after its connection was removed must not reach the value that has
// reused the slot.
func TestStaleRefFindsNothing(t *testing.T) {
	var table Table[string]
	old := table.Put("old")
	table.Delete(old)
	table.Delete(old)
	next := table.Put("next")
	if next.Index != old.Index {
		t.Fatalf("the slot was not reused: %v, %v", old, next)
	}
	if v, ok := table.Get(old); ok {
		t.Errorf("the stale Ref finds %q", v)
	}
	table.Delete(old)
	if v, ok := table.Get(next); !ok || v != "next" || table.Len() != 1 {
		t.Errorf("got %q, %v with %d slots in use, want \"next\", true with 1", v, ok, table.Len())
	}
	if _, ok := table.Get(Ref{}); ok {
		t.Error("the zero Ref finds a value")
	}
}
