package beechgrade

import (
	"testing"
	"time"
)

const second = time.Second

// TestDownServerGoesOnTrialWithoutProbes checks the recovery of a server that two broken connections marked
// down, where the settings do not allow probes. After a pause the server goes on trial, and an answer makes
// it healthy.
func TestDownServerGoesOnTrialWithoutProbes(t *testing.T) {
	cfg := testSettings()
	cfg.MayProbe, cfg.ListShowsRole, cfg.ListRoleUpdates = false, true, true
	h := newHarness(t, cfg, Entry{Server: "p", Weight: 1, Primary: true})
	h.wantSend(h.submit("1", classUnsafe), "1", "p")
	h.wantSend(h.endAttempt("1", 0, "p", Unreachable), "1", "p")
	h.endAttempt("1", 1, "p", Unreachable)
	if h.r.servers["p"].health != down {
		t.Fatalf("after two broken connections: health %d, want down", h.r.servers["p"].health)
	}
	h.wantSend(h.advance(2*downProbeInterval), "1", "p")
	h.wantNone(Probe, h.out)
	h.endAttempt("1", 2, "p", OK)
	if h.r.servers["p"].health != healthy {
		t.Errorf("after an answer: health %d, want healthy", h.r.servers["p"].health)
	}
}

// TestTrialIntervalGrowsWithoutProbes checks that a server that stays unreachable is tried less and less
// often.
func TestTrialIntervalGrowsWithoutProbes(t *testing.T) {
	cfg := testSettings()
	cfg.MayProbe, cfg.ListShowsRole, cfg.ListRoleUpdates = false, true, true
	h := newHarness(t, cfg, Entry{Server: "p", Weight: 1, Primary: true})
	h.submit("1", classAny)
	h.endAttempt("1", 0, "p", Unreachable)
	h.endAttempt("1", 1, "p", Unreachable)
	trials := 0
	for attempt := 2; h.now < start+60*second; {
		if len(finalAnswers(h.advance(downProbeInterval/4))) > 0 || h.r.requests["1"] == nil {
			h.handle(&Request{ID: "1", Class: classAny, Deadline: h.now + 30*second})
			attempt = 0
		}
		for h.r.requests["1"] != nil && h.r.requests["1"].inFlight > 0 {
			trials++
			h.endAttempt("1", attempt, "p", Unreachable)
			attempt++
		}
	}
	if maxTrials := int(60*second/(downProbeInterval<<maxProbeDoublings)) + probeBackoffAfter +
		maxProbeDoublings + 8; trials == 0 || trials > maxTrials {
		t.Errorf("%d trials in a minute, want 1 to %d", trials, maxTrials)
	}
}
