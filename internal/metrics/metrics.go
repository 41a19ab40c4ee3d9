// Package metrics counts what one pooler does and what goes wrong in it. A Set belongs to one pooler; it is logged as a
// structured line while its counts change, and once more at the end. The package never decides anything.
package metrics

import (
	"expvar"
	"log/slog"
)

// Family names a group of counters.
type Family string

// The families. The key within a family is given in brackets.
const (
	Requests       Family = "requests"        // requests by how they ended [served, refused, failed, gone]
	Attempts       Family = "attempts"        // attempts at servers by result [ok, reset, ...]
	Connections    Family = "connections"     // connections that were begun [accepted, dialled]
	Closed         Family = "closed"          // connections by the part that held them and why they ended [front.idle, ...]
	SyscallErrors  Family = "syscall_errors"  // failed system calls [accept4.EMFILE, ...]
	States         Family = "states"          // states of the process that were entered [serving, draining, ...]
	DiscoveryCalls Family = "discovery_calls" // calls to discovery by end [ok, failed]
	Violations     Family = "violations"      // broken invariants [by the name of the invariant]
)

var families = []Family{Requests, Attempts, Connections, Closed, SyscallErrors, States, DiscoveryCalls, Violations}

// Set is the counters of one pooler. Its methods may be called from any goroutine.
type Set struct {
	counters map[Family]*expvar.Map
	logged   map[Family]string // as they were logged last
}

// New makes a Set in which every counter is 0.
func New() *Set {
	s := &Set{counters: map[Family]*expvar.Map{}, logged: map[Family]string{}}
	for _, f := range families {
		s.counters[f] = new(expvar.Map).Init()
	}
	return s
}

// Add counts one event.
func (s *Set) Add(f Family, key string) { s.counters[f].Add(key, 1) }

// Value is one counter's value.
func (s *Set) Value(f Family, key string) int64 {
	if v, ok := s.counters[f].Get(key).(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}

// Sum is the sum over a family.
func (s *Set) Sum(f Family) int64 {
	var sum int64
	s.counters[f].Do(func(kv expvar.KeyValue) {
		if v, ok := kv.Value.(*expvar.Int); ok {
			sum += v.Value()
		}
	})
	return sum
}

// Log writes the families that are not empty as one line, each as a JSON object, unless nothing has changed since the
// last one. It is for one goroutine at a time.
func (s *Set) Log(log *slog.Logger) {
	var attrs []any
	changed := false
	for _, f := range families {
		text := s.counters[f].String()
		if text == "{}" {
			continue
		}
		changed = changed || text != s.logged[f]
		s.logged[f] = text
		attrs = append(attrs, string(f), text)
	}
	if changed {
		log.Info("counters", attrs...)
	}
}
