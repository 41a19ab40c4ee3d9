package core

import "hash/maphash"

const (
	// abandonedMemoryMs is the time in milliseconds for which the id of an abandoned request is remembered.
	abandonedMemoryMs = 60000
	// maxAbandonedIDs is the number of ids that are remembered at most.
	maxAbandonedIDs = 1 << 13
)

// abandonedIDs remembers the ids of requests that must not take effect twice, that may have run, and whose clients have left
// without an answer. The client may come again with the same id on another connection. Only hashes are kept, so that long ids take
// no more memory than short ones.
type abandonedIDs struct {
	seed    maphash.Seed
	latest  map[uint64]float64 // by hash: when the id was last added
	entries []abandonedID      // oldest first
}

type abandonedID struct {
	hash uint64
	at   float64
}

func newAbandonedIDs() *abandonedIDs {
	return &abandonedIDs{seed: maphash.MakeSeed(), latest: map[uint64]float64{}}
}

// add remembers an id at the time now, in milliseconds.
func (a *abandonedIDs) add(id string, now float64) {
	a.expire(now)
	if len(a.entries) >= maxAbandonedIDs {
		a.removeOldest()
	}
	hash := maphash.String(a.seed, id)
	a.latest[hash] = now
	a.entries = append(a.entries, abandonedID{hash, now})
}

// contains reports whether an id is remembered at the time now, in milliseconds.
func (a *abandonedIDs) contains(id string, now float64) bool {
	a.expire(now)
	_, ok := a.latest[maphash.String(a.seed, id)]
	return ok
}

// expire removes the ids that have been remembered for abandonedMemoryMs.
func (a *abandonedIDs) expire(now float64) {
	for len(a.entries) > 0 && now-a.entries[0].at >= abandonedMemoryMs {
		a.removeOldest()
	}
}

func (a *abandonedIDs) removeOldest() {
	oldest := a.entries[0]
	a.entries = a.entries[1:]
	if a.latest[oldest.hash] == oldest.at { // it was not added again
		delete(a.latest, oldest.hash)
	}
}
