package emulator

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// TestPlanBadClients tests that the plan has the given number of faults, depends on the seed only and lies within the run, and that
// merged plans are in the order of their times.
func TestPlanBadClients(t *testing.T) {
	plan := func() []Fault { return planBadClients(rand.New(rand.NewPCG(3, 1)), 20*time.Second, 24, 50) }
	faults := plan()
	if len(faults) != 50 || !slices.Equal(faults, plan()) {
		t.Fatalf("%d faults, equal: %v; want 50 that the seed determines", len(faults), slices.Equal(faults, plan()))
	}
	kinds := map[FaultKind]int{}
	for _, f := range faults {
		kinds[f.Kind]++
		if f.At < warmUp || f.At > 20*time.Second || f.Count < 1 || f.Count > len(floodCommands) {
			t.Errorf("%v: outside of the run or of the kinds of commands", f)
		}
	}
	if kinds[FaultFlood] == 0 || kinds[FaultSlowWriters] == 0 {
		t.Errorf("kinds %v, want both", kinds)
	}
	merged := mergePlans(faults, Plan(rand.New(rand.NewPCG(3, 0)), 20*time.Second, 24, 12))
	if !slices.IsSortedFunc(merged, func(a, b Fault) int { return int(a.At - b.At) }) {
		t.Error("the merged plan is not in the order of its times")
	}
}
