package emulator

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func atMostOnceClass() Class {
	return Class{Name: "entry", Deadline: 2 * time.Second, AtMostOnce: true}
}

func repeatableClass() Class { return Class{Name: "read", Deadline: 2 * time.Second} }

// TestLedgerReportsViolations checks that the ledger reports each way to break a rule, and nothing that the rules allow.
func TestLedgerReportsViolations(t *testing.T) {
	ago := func(d time.Duration) time.Time { return time.Now().Add(-d) }
	for name, c := range map[string]struct {
		do    func(l *Ledger, r *Request)
		class Class
		want  []Rule
	}{
		"served": {func(l *Ledger, r *Request) {
			l.EndAttempt(l.BeginAttempt(r.ID, "s", time.Second, false))
			l.End(r, Served)
		}, atMostOnceClass(), nil},
		"lost":       {func(l *Ledger, r *Request) { l.End(r, Unanswered) }, repeatableClass(), []Rule{RuleLost}},
		"ended once": {func(l *Ledger, r *Request) { l.End(r, Served); l.End(r, Unanswered) }, repeatableClass(), nil},
		"late": {func(l *Ledger, r *Request) {
			r.Deadline = ago(time.Second)
			l.End(r, Served)
		}, repeatableClass(), []Rule{RuleLate}},
		"late within the grace period": {func(l *Ledger, r *Request) {
			r.Deadline = ago(400 * time.Millisecond)
			l.End(r, Served)
		}, repeatableClass(), nil},
		"after a pipelined request with a later deadline": {func(l *Ledger, r *Request) {
			previous := &Request{ID: "before", Class: repeatableClass()}
			l.Begin(previous)
			r.previous, r.Deadline = previous, ago(time.Second)
			l.End(r, Served)
		}, repeatableClass(), nil},
		"answered late by a pooler that was impaired": {func(l *Ledger, r *Request) {
			r.Sent, r.Deadline = ago(2*time.Second), ago(time.Second)
			l.impaired["p"] = []interval{{ago(1200 * time.Millisecond), ago(100 * time.Millisecond)}}
			l.End(r, Served)
		}, repeatableClass(), nil},
		"unknown request": {func(l *Ledger, _ *Request) {
			l.BeginAttempt("other", "s", time.Second, false)
		}, repeatableClass(), []Rule{RuleWrong}},
		"write twice": {func(l *Ledger, r *Request) {
			l.EndAttempt(l.BeginAttempt(r.ID, "s", time.Second, false))
			l.EndAttempt(l.BeginAttempt(r.ID, "s", time.Second, false))
		}, atMostOnceClass(), []Rule{RuleDuplicate}},
		"write again after it was rejected": {func(l *Ledger, r *Request) {
			l.EndAttempt(l.BeginAttempt(r.ID, "s", time.Second, true))
			l.EndAttempt(l.BeginAttempt(r.ID, "s", time.Second, false))
		}, atMostOnceClass(), nil},
		"read twice": {func(l *Ledger, r *Request) {
			l.EndAttempt(l.BeginAttempt(r.ID, "s", time.Second, false))
			l.EndAttempt(l.BeginAttempt(r.ID, "s", time.Second, false))
		}, repeatableClass(), nil},
		"refused after it ran": {func(l *Ledger, r *Request) {
			l.EndAttempt(l.BeginAttempt(r.ID, "s", time.Second, false))
			l.End(r, Refused)
		}, atMostOnceClass(), []Rule{RuleRefusedWrite}},
		"two attempts in flight": {func(l *Ledger, r *Request) {
			l.BeginAttempt(r.ID, "s", time.Second, false)
			l.BeginAttempt(r.ID, "t", time.Second, false)
		}, repeatableClass(), []Rule{RuleOverlap}},
		"time-out too long": {func(l *Ledger, r *Request) {
			l.BeginAttempt(r.ID, "s", 3*time.Second, false)
		}, repeatableClass(), []Rule{RuleExcessTimeout}},
		"attempt after disconnect": {func(l *Ledger, r *Request) {
			l.End(r, Disconnected)
			r.Ended = ago(time.Second)
			l.BeginAttempt(r.ID, "s", time.Second, false)
		}, repeatableClass(), []Rule{RuleAfterDisconnect}},
		"attempt after the answer": {func(l *Ledger, r *Request) {
			l.End(r, Served)
			r.Ended = ago(time.Second)
			l.BeginAttempt(r.ID, "s", time.Second, false)
		}, repeatableClass(), []Rule{RuleAfterAnswer}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, r := NewLedger(), &Request{ID: "1", Class: c.class, Pooler: "p"}
			l.Begin(r)
			c.do(l, r)
			time.Sleep(4 * timingTolerance) // overlaps are checked with a delay
			l.mu.Lock()
			defer l.mu.Unlock()
			var got []Rule
			for _, v := range l.violations {
				got = append(got, v.Rule)
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestPlanDependsOnSeedOnly checks that the same seed draws the same faults, and another seed other ones.
func TestPlanDependsOnSeedOnly(t *testing.T) {
	draw := func(seed uint64) []Fault { return Plan(rand.New(rand.NewPCG(seed, 0)), time.Minute, 24, 8) }
	if diff := cmp.Diff(draw(7), draw(7)); diff != "" {
		t.Error(diff)
	}
	if cmp.Equal(draw(7), draw(8)) || len(draw(7)) < 60 {
		t.Errorf("%d faults in a minute, want at least 60; another seed draws the same ones: %v, want false",
			len(draw(7)), cmp.Equal(draw(7), draw(8)))
	}
}
