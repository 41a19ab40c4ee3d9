package emulator

import (
	"fmt"
	"io"
	"slices"
	"time"
)

// Report is what one run came to.
type Report struct {
	Seed       uint64            `json:"seed"`
	Poolers    int               `json:"poolers"`
	Seconds    float64           `json:"seconds"`
	Requests   map[Outcome]int   `json:"requests"`
	Attempts   int               `json:"attempts"`
	Faults     map[FaultKind]int `json:"faults"`
	Starts     int               `json:"starts"` // of pooler processes
	NoStrace   bool              `json:"no_strace,omitempty"`
	Violations []Violation       `json:"violations"`
}

// report judges what is left to judge and sums the run up.
func (w *world) report() *Report {
	r := &Report{Seed: w.opt.Seed, Poolers: len(w.poolers), Seconds: time.Since(w.ledger.began).Seconds(), Faults: w.applied,
		NoStrace: !w.strace}
	for _, p := range w.poolers {
		p.judgeLog()
		r.Starts += p.Start() + 1
	}
	w.ledger.mu.Lock()
	defer w.ledger.mu.Unlock()
	r.Requests, r.Attempts, r.Violations = w.ledger.outcomes, w.ledger.attempts, w.ledger.violations
	return r
}

// maxShown is how many violations are printed of one run.
const maxShown = 12

// Print writes the report in words.
func (r *Report) Print(out io.Writer) {
	fmt.Fprintf(out, "seed %d: %d poolers, %d starts, %.0f s; requests:", r.Seed, r.Poolers, r.Starts, r.Seconds)
	for _, o := range []Outcome{Served, Refused, Failed, Left, Void, Crossed, Unserved, Abandoned} {
		if n := r.Requests[o]; n > 0 {
			fmt.Fprintf(out, " %s %d", o, n)
		}
	}
	fmt.Fprintf(out, "; %d attempts; faults:", r.Attempts)
	var kinds []FaultKind
	for k := range r.Faults {
		kinds = append(kinds, k)
	}
	slices.Sort(kinds)
	for _, k := range kinds {
		fmt.Fprintf(out, " %s %d", k, r.Faults[k])
	}
	if r.NoStrace {
		fmt.Fprint(out, "; NO STRACE: system calls were not made to fail")
	}
	fmt.Fprintf(out, "; %d violations\n", len(r.Violations))
	for i, v := range r.Violations {
		if i == maxShown {
			fmt.Fprintf(out, "  and %d more\n", len(r.Violations)-maxShown)
			return
		}
		fmt.Fprintf(out, "  %.3f %s: %s\n", v.At, v.Rule, v.Text)
	}
}
