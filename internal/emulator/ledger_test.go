package emulator

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func unsafeClass() Class { return Class{Name: "entry", Deadline: 2 * time.Second, Unsafe: true} }

func safeClass() Class { return Class{Name: "read", Deadline: 2 * time.Second} }

// TestLedgerJudges: each way to break a rule is found, and what is allowed is not.
func TestLedgerJudges(t *testing.T) {
	ago := func(d time.Duration) time.Time { return time.Now().Add(-d) }
	for name, c := range map[string]struct {
		do    func(l *Ledger, r *Request)
		class Class
		want  []Rule
	}{
		"served": {func(l *Ledger, r *Request) {
			l.Depart(l.Arrive(r.ID, "s", time.Second, false))
			l.End(r, Served)
		}, unsafeClass(), nil},
		"lost":       {func(l *Ledger, r *Request) { l.End(r, Abandoned) }, safeClass(), []Rule{RuleLost}},
		"ended once": {func(l *Ledger, r *Request) { l.End(r, Served); l.End(r, Abandoned) }, safeClass(), nil},
		"late":       {func(l *Ledger, r *Request) { r.Due = ago(time.Second); l.End(r, Served) }, safeClass(), []Rule{RuleLate}},
		"just late":  {func(l *Ledger, r *Request) { r.Due = ago(400 * time.Millisecond); l.End(r, Served) }, safeClass(), nil},
		"behind one that is due later": {func(l *Ledger, r *Request) {
			before := &Request{ID: "before", Class: safeClass()}
			l.Begin(before)
			r.before, r.Due = before, ago(time.Second)
			l.End(r, Served)
		}, safeClass(), nil},
		"late as its pooler was hindered": {func(l *Ledger, r *Request) {
			r.Sent, r.Due = ago(2*time.Second), ago(time.Second)
			l.spans["p"] = []span{{ago(1200 * time.Millisecond), ago(100 * time.Millisecond)}}
			l.End(r, Served)
		}, safeClass(), nil},
		"asked by nobody": {func(l *Ledger, _ *Request) { l.Arrive("other", "s", time.Second, false) }, safeClass(), []Rule{RuleWrong}},
		"write twice": {func(l *Ledger, r *Request) {
			l.Depart(l.Arrive(r.ID, "s", time.Second, false))
			l.Depart(l.Arrive(r.ID, "s", time.Second, false))
		}, unsafeClass(), []Rule{RuleDuplicate}},
		"write again after it was turned away": {func(l *Ledger, r *Request) {
			l.Depart(l.Arrive(r.ID, "s", time.Second, true))
			l.Depart(l.Arrive(r.ID, "s", time.Second, false))
		}, unsafeClass(), nil},
		"read twice": {func(l *Ledger, r *Request) {
			l.Depart(l.Arrive(r.ID, "s", time.Second, false))
			l.Depart(l.Arrive(r.ID, "s", time.Second, false))
		}, safeClass(), nil},
		"refused, and it ran": {func(l *Ledger, r *Request) {
			l.Depart(l.Arrive(r.ID, "s", time.Second, false))
			l.End(r, Refused)
		}, unsafeClass(), []Rule{RuleRefused}},
		"two out": {func(l *Ledger, r *Request) {
			l.Arrive(r.ID, "s", time.Second, false)
			l.Arrive(r.ID, "t", time.Second, false)
		}, safeClass(), []Rule{RuleOverlap}},
		"told too long": {func(l *Ledger, r *Request) { l.Arrive(r.ID, "s", 3*time.Second, false) }, safeClass(), []Rule{RuleTold}},
		"gone": {func(l *Ledger, r *Request) {
			l.End(r, Left)
			r.Ended = ago(time.Second)
			l.Arrive(r.ID, "s", time.Second, false)
		}, safeClass(), []Rule{RuleGone}},
		"after its answer": {func(l *Ledger, r *Request) {
			l.End(r, Served)
			r.Ended = ago(time.Second)
			l.Arrive(r.ID, "s", time.Second, false)
		}, safeClass(), []Rule{RuleOver}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, r := NewLedger(), &Request{ID: "1", Class: c.class, Pooler: "p"}
			l.Begin(r)
			c.do(l, r)
			time.Sleep(4 * noise) // overlaps are judged once a close has had time to come
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

// TestPlanIsItsSeeds: the same seed draws the same faults, and another one others.
func TestPlanIsItsSeeds(t *testing.T) {
	draw := func(seed uint64) []Fault { return Plan(rand.New(rand.NewPCG(seed, 0)), time.Minute, 24, 8) }
	if diff := cmp.Diff(draw(7), draw(7)); diff != "" {
		t.Error(diff)
	}
	if cmp.Equal(draw(7), draw(8)) || len(draw(7)) < 60 {
		t.Errorf("%d faults in a minute, those of another seed are the same: %v", len(draw(7)), cmp.Equal(draw(7), draw(8)))
	}
}
