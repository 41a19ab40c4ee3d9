package emulator

import (
	"fmt"
	"io"
	"slices"
	"time"
)

// Report is the result of one run.
type Report struct {
	Seed       uint64            `json:"seed"`
	Poolers    int               `json:"poolers"`
	Seconds    float64           `json:"seconds"`
	Requests   map[Outcome]int   `json:"requests"`
	Attempts   int               `json:"attempts"`
	Faults     map[FaultKind]int `json:"faults"`
	Starts     int               `json:"starts"`              // number of pooler processes started
	NoStrace   bool              `json:"no_strace,omitempty"` // true if no system call was made to fail, for lack of strace
	Violations []Violation       `json:"violations"`
}

// report checks the poolers' logs and returns the report of the run.
func (e *environment) report() *Report {
	r := &Report{Seed: e.opt.Seed, Poolers: len(e.poolers), Seconds: time.Since(e.ledger.began).Seconds(), Faults: e.applied,
		NoStrace: !e.strace}
	for _, p := range e.poolers {
		p.checkLog()
		r.Starts += p.CurrentExecution() + 1
	}
	e.ledger.mu.Lock()
	defer e.ledger.mu.Unlock()
	r.Requests, r.Attempts, r.Violations = e.ledger.outcomes, e.ledger.attempts, e.ledger.violations
	return r
}

// maxPrintedViolations is the most violations of one run that Print prints.
const maxPrintedViolations = 12

// Print writes the report as text.
func (r *Report) Print(out io.Writer) {
	fmt.Fprintf(out, "seed %d: %d poolers, %d starts, %.0f s; requests:", r.Seed, r.Poolers, r.Starts, r.Seconds)
	for _, o := range []Outcome{Served, Refused, Failed, Disconnected, PoolerKilled, CloseRace, PoolerDown, Unanswered} {
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
		if i == maxPrintedViolations {
			fmt.Fprintf(out, "  and %d more\n", len(r.Violations)-maxPrintedViolations)
			return
		}
		fmt.Fprintf(out, "  %.3f %s: %s\n", v.At, v.Rule, v.Text)
	}
}
