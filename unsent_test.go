package beechgrade

import (
	"slices"
	"testing"
	"time"
)

// classFresh is the number of the class that withFreshReads adds to testSettings.
const classFresh = classAny + 1

// withFreshReads adds a class of reads that must be current.
func withFreshReads(cfg *Settings) {
	cfg.Classes = append(cfg.Classes,
		Class{LatencyTarget: 400 * ms, Deadline: 2 * time.Second, Value: 1, Read: ReadFresh})
}

// newLaggingHarness returns a harness for a group with primary p and a replica whose data is too old for any
// read, 400 ms after both have reported.
func newLaggingHarness(t *testing.T, change func(*Settings)) *harness {
	t.Helper()
	cfg := testSettings()
	withFreshReads(&cfg)
	if change != nil {
		change(&cfg)
	}
	h := newHarness(t, cfg, Entry{Server: "p", Weight: 1}, Entry{Server: "a", Weight: 1})
	h.answerProbe("p", RolePrimary, h.now)
	h.answerProbe("a", RoleReplica, h.now-10*time.Second)
	h.now += 400 * ms
	return h
}

// submitToPrimary submits a request that is sent to p, the session of which has committed 50 ms ago.
func (h *harness) submitToPrimary(id RequestID, class int) {
	h.t.Helper()
	h.wantSend(h.handle(&Request{ID: id, Class: class, Deadline: h.now + time.Second, SinceCommit: 50 * ms}), id, "p")
}

// allowsSend reports whether the router allows the first attempt of a request to be sent now.
func (h *harness) allowsSend(id RequestID) bool { return h.r.AllowsSend(h.now, id, 0) }

// TestUnsentAttemptLeavesFormerPrimary guards against stale answers: a request that waits for a connection to
// the primary must not be sent to that server once it is none any more, unless its data is known to be new
// enough. The request is withdrawn at once, so that it does not wait for that connection in vain.
func TestUnsentAttemptLeavesFormerPrimary(t *testing.T) {
	demotions := map[string]func(h *harness) []Action{
		"answer as a replica": func(h *harness) []Action {
			return h.handle(&Outcome{ID: "0", Server: "p", Final: true, Report: Report{Role: RoleReplica}})
		},
		"misdirected write": func(h *harness) []Action {
			return h.handle(&Outcome{ID: "0", Server: "p", Result: Misdirected})
		},
		"broken answer as a replica": func(h *harness) []Action {
			return h.handle(&Outcome{ID: "0", Server: "p", Result: Reset, Report: Report{Role: RoleReplica}})
		},
		"probe": func(h *harness) []Action { return h.answerProbe("p", RoleReplica, start+ms) },
		"another primary": func(h *harness) []Action {
			return h.handle(&ProbeResult{Server: "a",
				Report: Report{Role: RolePrimary, Position: h.now, HasPosition: true}})
		},
	}
	for name, demote := range demotions {
		for _, class := range []int{classBounded, classSession, classWrite, classUnsafe, classFresh} {
			h := newLaggingHarness(t, nil)
			h.submitToPrimary("0", classWrite)
			h.submitToPrimary("1", class)
			if !h.allowsSend("1") {
				t.Errorf("%s, class %d: not allowed before", name, class)
			}
			cancelled := ofKind(CancelUnsent, demote(h))
			if !slices.ContainsFunc(cancelled, func(a Action) bool { return a.ID == "1" && a.Attempt == 0 }) {
				t.Errorf("%s, class %d: not withdrawn", name, class)
			}
			if h.allowsSend("1") {
				t.Errorf("%s, class %d: still allowed", name, class)
			}
			for _, a := range ofKind(Send, h.endAttempt("1", 0, "p", Skipped)) {
				if a.Server == "p" && a.ID == "1" {
					t.Errorf("%s, class %d: sent to the former primary again", name, class)
				}
			}
		}
	}
}

// TestUnsentReadStaysWhereItMayRun guards against withdrawing reads for which the former primary's data is new
// enough, or which the servers themselves reject where it is not.
func TestUnsentReadStaysWhereItMayRun(t *testing.T) {
	newData := func(h *harness) []Action { return h.answerProbe("p", RoleReplica, h.now) }
	oldData := func(h *harness) []Action { return h.answerProbe("p", RoleReplica, start+ms) }
	for name, c := range map[string]struct {
		class     int
		lagPolicy LagPolicy
		demote    func(h *harness) []Action
	}{
		"any":                    {classAny, LagServesStale, oldData},
		"bounded, new data":      {classBounded, LagServesStale, newData},
		"session, new data":      {classSession, LagServesStale, newData},
		"bounded, replica waits": {classBounded, LagWaits, oldData},
		"session, rejected":      {classSession, LagRejects, oldData},
	} {
		h := newLaggingHarness(t, func(cfg *Settings) { cfg.LagPolicy = c.lagPolicy })
		h.submitToPrimary("1", c.class)
		if cancelled := ofKind(CancelUnsent, c.demote(h)); len(cancelled) > 0 || !h.allowsSend("1") {
			t.Errorf("%s: withdrawn %v, allowed %v; want it to stay", name, cancelled, h.allowsSend("1"))
		}
	}
}

// TestUnsentAttemptIsAdmittedAgainAfterRestart guards against an overload of a cold server: requests that were
// admitted while it was warm may still wait for a connection to it when the list tells that it has restarted.
func TestUnsentAttemptIsAdmittedAgainAfterRestart(t *testing.T) {
	for name, c := range map[string]struct {
		age  time.Duration // of the start that the list tells
		want bool
	}{"just now": {0, false}, "some time ago": {5 * time.Second, false}, "long ago": {10 * time.Second, true}} {
		h := newLaggingHarness(t, nil)
		h.submitToPrimary("1", classWrite)
		h.handle(&List{Kind: ListChanges, Entries: []Entry{{Server: "p", Weight: 1, StartedAt: h.now - c.age}}})
		if got := h.allowsSend("1"); got != c.want {
			t.Errorf("started %s: allowed %v, want %v", name, got, c.want)
		}
	}
}

// TestUnsentAttemptKeepsToDedupWindow guards against a repeat after the deduplication window: an attempt waits
// for a connection to a server that is found down meanwhile, a duplicate is sent to another server, and then
// the connection comes up after all.
func TestUnsentAttemptKeepsToDedupWindow(t *testing.T) {
	const window = 100 * ms
	for _, c := range []struct {
		duplicate bool
		wait      time.Duration // until the connection is up
		want      bool
	}{{true, 50 * ms, true}, {true, window, false}, {false, window, true}} {
		h := newGroupHarness(t, func(cfg *Settings) {
			cfg.Classes[classAny].Effect, cfg.Classes[classAny].DedupWindow = Deduplicated, window
			cfg.MayDuplicate = c.duplicate
			cfg.MayCancel = false
		})
		first := ofKind(Send, h.submit("1", classAny))
		if len(first) != 1 {
			t.Fatalf("sends %+v, want one", first)
		}
		h.r.markDown(h.r.servers[first[0].Server])
		if sent := len(ofKind(Send, h.advance(20*ms))) == 1; sent != c.duplicate {
			t.Fatalf("duplicate sent: %v, want %v", sent, c.duplicate)
		}
		h.now = start + c.wait
		if got := h.allowsSend("1"); got != c.want {
			t.Errorf("%+v: the first attempt may be sent: %v", c, got)
		}
	}
}

// TestUnsentAttemptFollowsList guards against a send to a server that the list excludes by now, and against a
// panic for an attempt that the router does not know.
func TestUnsentAttemptFollowsList(t *testing.T) {
	for name, state := range map[string]ServerState{"draining": Draining, "removed": Removed} {
		h := newLaggingHarness(t, nil)
		h.submitToPrimary("1", classWrite)
		h.handle(&List{Kind: ListChanges, Entries: []Entry{{Server: "p", Weight: 1, State: state}}})
		if h.allowsSend("1") {
			t.Errorf("%s: allowed, want it not to be", name)
		}
	}
	h := newLaggingHarness(t, nil)
	h.submitToPrimary("1", classWrite)
	for _, number := range []int{-1, 1} {
		if h.r.AllowsSend(h.now, "1", number) {
			t.Errorf("attempt %d, which there is not: allowed", number)
		}
	}
	if h.allowsSend("2") {
		t.Error("an unknown request: allowed")
	}
}
