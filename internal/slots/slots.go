// Package slots provides a table of numbered slots that are reused. A Ref holds the index and the generation of a slot, so
// that a late callback with an old Ref finds nothing, instead of the value that uses the slot now.
package slots

// Ref refers to a value in a Table. The zero Ref refers to no value.
type Ref struct{ Index, Generation uint32 }

type slot[T any] struct {
	generation uint32
	inUse      bool
	value      T
}

// Table holds values in numbered slots.
type Table[T any] struct {
	slots []slot[T]
	free  []uint32
	used  int
}

// Put stores a value and returns its Ref.
func (t *Table[T]) Put(v T) Ref {
	var index uint32
	if n := len(t.free); n > 0 {
		index, t.free = t.free[n-1], t.free[:n-1]
	} else {
		index = uint32(len(t.slots))
		t.slots = append(t.slots, slot[T]{})
	}
	s := &t.slots[index]
	s.generation++
	s.inUse, s.value = true, v
	t.used++
	return Ref{Index: index, Generation: s.generation}
}

// Get returns the value that r refers to. It returns false if that value has been removed.
func (t *Table[T]) Get(r Ref) (T, bool) {
	if int(r.Index) >= len(t.slots) || t.slots[r.Index].generation != r.Generation || !t.slots[r.Index].inUse {
		var zero T
		return zero, false
	}
	return t.slots[r.Index].value, true
}

// Delete removes the value that r refers to. It does nothing if that value has been removed before.
func (t *Table[T]) Delete(r Ref) {
	if _, ok := t.Get(r); !ok {
		return
	}
	s := &t.slots[r.Index]
	var zero T
	s.inUse, s.value = false, zero
	t.free = append(t.free, r.Index)
	t.used--
}

// Len returns the number of slots in use.
func (t *Table[T]) Len() int { return t.used }

// Each calls f for every slot in use, in the order of their indices.
func (t *Table[T]) Each(f func(Ref, T)) {
	for i := range t.slots {
		if s := &t.slots[i]; s.inUse {
			f(Ref{Index: uint32(i), Generation: s.generation}, s.value)
		}
	}
}
