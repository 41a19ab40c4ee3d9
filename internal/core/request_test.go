package core

import (
	"testing"

	"beechgrade"
)

// TestFirstRunAt guards against a repeat that counts its window from too late an attempt: one that was written and is in flight
// may have run as well as one that ended without a clear result.
func TestFirstRunAt(t *testing.T) {
	unsent := attempt{startedAt: 1}
	notRun := attempt{sentAt: 2, endedAt: 3, result: beechgrade.Misdirected}
	inFlight := attempt{sentAt: 4}
	failed := attempt{sentAt: 5, endedAt: 6, result: beechgrade.Failed}
	for name, c := range map[string]struct {
		attempts []attempt
		want     float64
	}{
		"no attempt":        {nil, 0},
		"none may have run": {[]attempt{unsent, notRun}, 0},
		"in flight":         {[]attempt{unsent, notRun, inFlight}, 4},
		"failed":            {[]attempt{notRun, failed}, 5},
		"earliest":          {[]attempt{failed, inFlight}, 4},
	} {
		req := &request{attempts: c.attempts}
		if got := req.firstRunAt(); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}
