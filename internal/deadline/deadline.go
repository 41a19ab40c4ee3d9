// Package deadline provides the ordered timer queue of the event loop.
package deadline

import "container/heap"

// Timer is a deadline in a Heap.
type Timer struct {
	at    float64
	seq   uint64
	index int // position in the heap, -1 if the timer has run or was stopped
	run   func()
}

// Heap orders timers by their deadlines, and those with the same deadline by the order in which they were added. It is not
// safe for concurrent use: the loop owns it.
type Heap struct {
	items timers
	seq   uint64
}

// Add adds a timer that calls run at the given time, in milliseconds.
func (h *Heap) Add(at float64, run func()) *Timer {
	h.seq++
	t := &Timer{at: at, seq: h.seq, run: run}
	heap.Push(&h.items, t)
	return t
}

// Stop removes a timer. It does nothing if t is nil, has run or was stopped before.
func (h *Heap) Stop(t *Timer) {
	if t != nil && t.index >= 0 {
		heap.Remove(&h.items, t.index)
	}
}

// Next returns the earliest deadline. It returns false if there is none.
func (h *Heap) Next() (at float64, ok bool) {
	if len(h.items) == 0 {
		return 0, false
	}
	return h.items[0].at, true
}

// Run runs the timers that are due at now, in order. Timers that are added meanwhile wait for the next call, even if they
// are due.
func (h *Heap) Run(now float64) {
	lastSeq := h.seq
	for len(h.items) > 0 && h.items[0].at <= now && h.items[0].seq <= lastSeq {
		heap.Pop(&h.items).(*Timer).run()
	}
}

// timers implements heap.Interface.
type timers []*Timer

func (s timers) Len() int { return len(s) }
func (s timers) Less(i, k int) bool {
	return s[i].at < s[k].at || s[i].at == s[k].at && s[i].seq < s[k].seq
}
func (s timers) Swap(i, k int) {
	s[i], s[k] = s[k], s[i]
	s[i].index, s[k].index = i, k
}

// Push implements heap.Interface.
func (s *timers) Push(x any) {
	t := x.(*Timer)
	t.index = len(*s)
	*s = append(*s, t)
}

// Pop implements heap.Interface.
func (s *timers) Pop() any {
	old := *s
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*s = old[:len(old)-1]
	t.index = -1
	return t
}
