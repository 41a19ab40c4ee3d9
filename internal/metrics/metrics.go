// Package metrics counts the operations and errors of one pooler. The pooler logs its Set as a structured line while the
// counts change, and once more at the end. The package makes no decisions.
package metrics

import (
	"expvar"
	"log/slog"
)

// Family names a group of counters.
type Family string

// The families. The keys within a family are given in brackets.
const (
	Requests       Family = "requests"        // ended requests by outcome [served, refused, failed, gone]
	Attempts       Family = "attempts"        // ended attempts by result [ok, reset, ...]
	Unsent         Family = "unsent"          // attempts that could not be sent any more, by reason [client_gone, ...]
	ClientLimits   Family = "client_limits"   // limits that clients have met [no_memory, throttled, error_delayed]
	Connections    Family = "connections"     // accepted connections and started dials [accepted, dialled]
	Closed         Family = "closed"          // closed connections by owner and reason [front.idle, ...]
	SyscallErrors  Family = "syscall_errors"  // failed system calls by call and error [accept4.EMFILE, ...]
	States         Family = "states"          // entered states of the process [serving, draining, ...]
	DiscoveryCalls Family = "discovery_calls" // received server lists and failed discovery calls [listed, failed]
	Violations     Family = "violations"      // violated invariants [names of package invariant's rules]
)

var families = []Family{Requests, Attempts, Unsent, ClientLimits, Connections, Closed, SyscallErrors, States, DiscoveryCalls, Violations}

// Set holds the counters of one pooler. Its methods may be called from any goroutine; calls of Log must not overlap.
type Set struct {
	counters   map[Family]*expvar.Map
	lastLogged map[Family]string // text of each family in the last line
}

// New returns a Set in which every counter is 0.
func New() *Set {
	s := &Set{counters: map[Family]*expvar.Map{}, lastLogged: map[Family]string{}}
	for _, f := range families {
		s.counters[f] = new(expvar.Map).Init()
	}
	return s
}

// Add counts one event.
func (s *Set) Add(f Family, key string) { s.counters[f].Add(key, 1) }

// Value returns the value of a counter.
func (s *Set) Value(f Family, key string) int64 {
	if v, ok := s.counters[f].Get(key).(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}

// Sum returns the sum of a family's counters.
func (s *Set) Sum(f Family) int64 {
	var sum int64
	s.counters[f].Do(func(kv expvar.KeyValue) {
		if v, ok := kv.Value.(*expvar.Int); ok {
			sum += v.Value()
		}
	})
	return sum
}

// Log writes the families that are not empty as one log line, each as a JSON object, unless nothing has changed since the
// last line.
func (s *Set) Log(log *slog.Logger) {
	var attrs []any
	changed := false
	for _, f := range families {
		text := s.counters[f].String()
		if text == "{}" {
			continue
		}
		changed = changed || text != s.lastLogged[f]
		s.lastLogged[f] = text
		attrs = append(attrs, string(f), text)
	}
	if changed {
		log.Info("counters", attrs...)
	}
}
