package beechgrade

import (
	"testing"
	"time"
)

const second = time.Second

// TestDownServerIsTriedWithoutProbes: where the settings allow no probes, a server that two broken connections took out is not out
// for ever. After a pause it is on trial, and an answer makes it healthy.
func TestDownServerIsTriedWithoutProbes(t *testing.T) {
	set := testSettings()
	set.MayProbe, set.ListShowsRole, set.ListRoleUpdates = false, true, true
	g := newRig(t, set, Entry{Server: "p", Weight: 1, Primary: true})
	g.wantSend(g.ask("1", cUnsafe), "1", "p")
	g.wantSend(g.end("1", 0, "p", Unreachable), "1", "p")
	g.end("1", 1, "p", Unreachable)
	if g.r.servers["p"].health != down {
		t.Fatalf("after two broken connections the server is at %d", g.r.servers["p"].health)
	}
	g.wantSend(g.pass(2*downProbeInterval), "1", "p")
	g.wantNone(Probe, g.out)
	g.end("1", 2, "p", OK)
	if g.r.servers["p"].health != healthy {
		t.Errorf("after an answer the server is at %d", g.r.servers["p"].health)
	}
}

// TestTrialsWithoutProbesGrowRarer: a server that stays out of reach is tried less and less often.
func TestTrialsWithoutProbesGrowRarer(t *testing.T) {
	set := testSettings()
	set.MayProbe, set.ListShowsRole, set.ListRoleUpdates = false, true, true
	g := newRig(t, set, Entry{Server: "p", Weight: 1, Primary: true})
	g.ask("1", cAny)
	g.end("1", 0, "p", Unreachable)
	g.end("1", 1, "p", Unreachable)
	trials := 0
	for no := 2; g.now < start+60*second; {
		if len(finals(g.pass(downProbeInterval/4))) > 0 || g.r.requests["1"] == nil {
			g.do(&Request{ID: "1", Class: cAny, Deadline: g.now + 30*second})
			no = 0
		}
		for g.r.requests["1"] != nil && g.r.requests["1"].inFlight > 0 {
			trials++
			g.end("1", no, "p", Unreachable)
			no++
		}
	}
	if most := int(60*second/(downProbeInterval<<maxProbeDoublings)) + probeBackoffAfter + maxProbeDoublings + 8; trials == 0 ||
		trials > most {
		t.Errorf("%d trials in a minute, want 1 to %d", trials, most)
	}
}
