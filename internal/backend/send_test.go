package backend

import (
	"io"
	"math"
	"testing"

	"beechgrade"
	"beechgrade/internal/pgwire"
	"beechgrade/internal/slots"
)

// sendGate receives outcomes, and allows or forbids the sending of attempts.
type sendGate struct {
	outcomes
	allowed bool
}

func (g sendGate) BeforeSend(AttemptID, float64) (int, bool) { return 1, g.allowed }

// TestBeforeSendDecides: the client may disconnect while an attempt waits for its connection. The pool calls BeforeSend
// right before it writes the query, and does not write it if that forbids it.
func TestBeforeSendDecides(t *testing.T) {
	for name, c := range map[string]struct {
		allowed bool
		want    beechgrade.Result
	}{"no longer": {false, beechgrade.Skipped}, "still": {true, beechgrade.Failed}} {
		t.Run(name, func(t *testing.T) {
			events, server := sendGate{make(outcomes, 9), c.allowed}, listen(t)
			tp := newTestPool(t, events, options())
			tp.events = events.outcomes
			tp.runOnLoop(func() {
				tp.pool.SetAddress("s", server.Addr().String())
				tp.pool.StartAttempt("s", events, tp.clk.Ms+9000, math.Inf(1), true, AttemptID{})
			})
			serverConn := accept(t, server)
			write(t, serverConn, pgwire.AppendStartupReply(nil))
			if c.want == beechgrade.Failed { // the query is sent; reply with something that is not an answer
				tp.waitUntil(func() bool { return tp.pool.busyConn() != nil })
				write(t, serverConn, []byte("noise"))
			}
			if o := tp.nextOutcome(); o.Result != c.want {
				t.Errorf("result %v, want %v", o.Result, c.want)
			}
		})
	}
}

// TestQueryWriteTimeout: the time limit in a query soon goes out of date. If the socket does not accept the complete query
// in time, the rest is never sent, and the attempt has not run.
func TestQueryWriteTimeout(t *testing.T) {
	events, server := make(outcomes, 9), listen(t)
	tp := newTestPool(t, events, options())
	tp.runOnLoop(func() {
		tp.pool.SetAddress("s", server.Addr().String())
		tp.pool.StartAttempt("s", largeQuery{}, tp.clk.Ms+9000, math.Inf(1), true, AttemptID{})
	})
	serverConn := accept(t, server)
	write(t, serverConn, pgwire.AppendStartupReply(nil))
	tp.waitUntil(func() bool { return tp.pool.busyConn() != nil && tp.pool.busyConn().loopConn.UnsentBytes() > 0 })
	tp.runOnLoop(func() { tp.clk.Ms += writeTimeoutMs - 1 })
	if tp.runOnLoop(func() {}); len(events) > 0 {
		t.Fatalf("the attempt ended before the write time-out: %v", (<-events).Result)
	}
	tp.runOnLoop(func() { tp.clk.Ms += 1 })
	if o := tp.nextOutcome(); o.Result != beechgrade.Skipped {
		t.Errorf("result %v, want skipped", o.Result)
	}
	totalSize := len(largeQuery{}.AppendQuery(nil, 0)) + len(pgwire.AppendStartup(nil, "", ""))
	if n, _ := io.Copy(io.Discard, serverConn); int(n) >= totalSize {
		t.Errorf("%d bytes of %d arrived, want fewer", n, totalSize)
	}
}

// TestHalfWrittenQueryIsWithdrawn guards against a query whose last byte is sent when it may no longer be: after its send
// deadline, or after the router has withdrawn it. A query that the socket has accepted in part has not run yet.
func TestHalfWrittenQueryIsWithdrawn(t *testing.T) {
	const sendDeadlineMs = writeTimeoutMs / 2
	for name, withdraw := range map[string]func(tp *testPool, ref slots.Ref){
		"send deadline": func(tp *testPool, _ slots.Ref) { tp.clk.Ms += sendDeadlineMs },
		"withdrawn":     func(tp *testPool, ref slots.Ref) { tp.pool.CancelUnsentAttempt(ref) },
	} {
		t.Run(name, func(t *testing.T) {
			server := listen(t)
			tp := newTestPool(t, make(outcomes, 9), options())
			var ref slots.Ref
			tp.runOnLoop(func() {
				tp.pool.SetAddress("s", server.Addr().String())
				ref = tp.pool.StartAttempt("s", largeQuery{}, tp.clk.Ms+9000, tp.clk.Ms+sendDeadlineMs, true, AttemptID{})
			})
			serverConn := accept(t, server)
			write(t, serverConn, pgwire.AppendStartupReply(nil))
			tp.waitUntil(func() bool { return tp.pool.busyConn() != nil && tp.pool.busyConn().loopConn.UnsentBytes() > 0 })
			tp.runOnLoop(func() { withdraw(tp, ref) })
			if o := tp.nextOutcome(); o.Result != beechgrade.Skipped {
				t.Errorf("result %v, want skipped", o.Result)
			}
			totalSize := len(largeQuery{}.AppendQuery(nil, 0))
			if n, _ := io.Copy(io.Discard, serverConn); int(n) >= totalSize {
				t.Errorf("%d bytes of %d arrived, want fewer", n, totalSize)
			}
		})
	}
}
