package backend

import (
	"math"
	"net"
	"runtime"
	"slices"
	"testing"
	"time"

	"beechgrade"
	"beechgrade/internal/pgwire"
	"beechgrade/internal/slots"
)

// reentrantEvents receives outcomes, and calls onSkipped when an attempt is skipped, as the router does when it sends the
// request of that attempt to another server at once. It forbids the sending of the attempts in forbidden.
type reentrantEvents struct {
	outcomes
	forbidden map[int]bool
	onSkipped func()
}

func (e *reentrantEvents) AttemptEnded(id AttemptID, o Outcome) {
	e.outcomes.AttemptEnded(id, o)
	if o.Result == beechgrade.Skipped && e.onSkipped != nil {
		e.onSkipped()
	}
}

func (e *reentrantEvents) BeforeSend(id AttemptID, _ float64) (int, bool) {
	return 1, !e.forbidden[id.Number]
}

// successfulAnswer returns a complete answer to a query.
func successfulAnswer() []byte {
	return pgwire.AppendReady(pgwire.AppendComplete(pgwire.AppendRow(nil, "content", []byte("value")), "SELECT 1"))
}

// readQuery waits for a query on a server's connection and reports whether one has arrived.
func readQuery(conn net.Conn) bool {
	_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second))
	n, _ := conn.Read(make([]byte, 999))
	return n > 0
}

// start starts an attempt without a time limit on its send.
func (tp *testPool) start(serverID string, number int) {
	tp.pool.StartAttempt(serverID, tp.events, tp.clk.Ms+9000, math.Inf(1), false, AttemptID{Number: number})
}

// deliverWith writes data from a server to the pool and calls f on the loop after the data has arrived and before it is read.
func (tp *testPool) deliverWith(serverConn net.Conn, c *conn, data []byte, f func()) {
	tp.t.Helper()
	tp.runOnLoop(func() {
		write(tp.t, serverConn, data)
		for c.loopConn == nil || c.loopConn.NoPendingInput() {
			runtime.Gosched()
		}
		f()
	})
}

// onlyConn returns the pool's only connection once it is open.
func (tp *testPool) onlyConn() (only *conn) {
	tp.t.Helper()
	tp.waitUntil(func() bool {
		tp.pool.conns.Each(func(_ slots.Ref, c *conn) { only = c })
		return only != nil && only.loopConn != nil && tp.pool.ConnCount() == 1
	})
	return only
}

// TestConnLimitReachedDuringSkip guards against a closed connection among the idle ones, on which the pool looped forever, and
// against an attempt that is written to a closed connection and never ends. With all connections in use, a connection becomes
// free while the first attempt that waits for it is skipped. The call that reports this starts an attempt at another server, for
// which the pool may close an idle connection, but not one that the next waiting attempt is about to use.
func TestConnLimitReachedDuringSkip(t *testing.T) {
	for name, c := range map[string]struct {
		afterAnswer bool // the connection becomes free after an answer, and otherwise after its startup
		forbidden   bool // the attempt is skipped by BeforeSend, and otherwise because its send deadline has passed
		follower    bool // another attempt waits for the connection
	}{
		"startup, expired":              {false, false, false},
		"startup, expired, follower":    {false, false, true},
		"startup, forbidden":            {false, true, false},
		"startup, forbidden, follower":  {false, true, true},
		"answered, expired":             {true, false, false},
		"answered, expired, follower":   {true, false, true},
		"answered, forbidden":           {true, true, false},
		"answered, forbidden, follower": {true, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			server, otherServer := listen(t), listen(t)
			const answered, skipped, follower, elsewhere, later = 0, 1, 2, 3, 4
			events := &reentrantEvents{outcomes: make(outcomes, 9), forbidden: map[int]bool{skipped: c.forbidden}}
			opt := options()
			opt.MaxConns = func() int { return 1 }
			tp := newTestPool(t, events, opt)
			tp.events = events.outcomes
			events.onSkipped = func() {
				events.onSkipped = nil
				tp.start("t", elsewhere)
			}
			var data []byte
			tp.runOnLoop(func() {
				tp.pool.SetAddress("s", server.Addr().String())
				tp.pool.SetAddress("t", otherServer.Addr().String())
				if c.afterAnswer {
					tp.start("s", answered)
				}
			})
			if !c.afterAnswer {
				tp.runOnLoop(func() { tp.start("s", skipped) })
			}
			serverConn, backendConn := accept(t, server), tp.onlyConn()
			data = pgwire.AppendStartupReply(nil)
			if c.afterAnswer {
				write(t, serverConn, data)
				if !readQuery(serverConn) {
					t.Fatal("the first query has not arrived")
				}
				tp.runOnLoop(func() { tp.start("s", skipped) })
				data = successfulAnswer()
			}
			if c.follower {
				tp.runOnLoop(func() { tp.start("s", follower) })
			}
			tp.deliverWith(serverConn, backendConn, data, func() {
				if !c.forbidden { // as if the time had passed while the loop handles connections; it runs timers after them
					tp.pool.servers["s"].waiting[0].sendDeadline = tp.clk.Ms
				}
			})
			wantResults := []beechgrade.Result{beechgrade.Skipped}
			if c.afterAnswer {
				wantResults = append(wantResults, beechgrade.OK)
			}
			var results []beechgrade.Result
			for range wantResults {
				results = append(results, tp.nextOutcome().Result)
			}
			for _, want := range wantResults {
				if !slices.Contains(results, want) {
					t.Fatalf("results %v, want %v in any order", results, wantResults)
				}
			}
			tp.runOnLoop(func() {
				for _, idleConn := range tp.pool.servers["s"].idle {
					if idleConn.state != idle {
						t.Errorf("a connection in state %d is among the idle ones", idleConn.state)
					}
				}
			})
			if t.Failed() {
				return // the next attempt would keep the loop busy forever
			}
			if c.follower {
				if !readQuery(serverConn) {
					t.Fatal("the attempt behind the skipped one was not sent on the connection that it waited for")
				}
				return
			}
			accept(t, otherServer)
			tp.runOnLoop(func() { tp.start("s", later) })
		})
	}
}

// TestConnLimitHoldsWhileRoomIsMade guards against more connections than the limit allows. The connection that is closed to make
// room for another may be one for whose server attempts wait, and the pool dials for them as soon as it is closed.
func TestConnLimitHoldsWhileRoomIsMade(t *testing.T) {
	server := listen(t)
	opt := options()
	opt.MaxConns = func() int { return 1 }
	tp := newTestPool(t, make(outcomes, 9), opt)
	tp.runOnLoop(func() {
		tp.pool.SetAddress("s", server.Addr().String())
		tp.start("s", 0)
	})
	serverConn := accept(t, server)
	write(t, serverConn, pgwire.AppendStartupReply(nil))
	if !readQuery(serverConn) {
		t.Fatal("the query has not arrived")
	}
	write(t, serverConn, successfulAnswer())
	tp.nextOutcome()
	tp.runOnLoop(func() {
		tp.pool.idleTimeout.limitMs = 0 // an attempt that must not take effect twice does not use the idle connection
		tp.pool.StartAttempt("s", tp.events, tp.clk.Ms+9000, math.Inf(1), true, AttemptID{Number: 1})
		if n := tp.pool.ConnCount(); n > 1 {
			t.Errorf("%d connections, want at most 1", n)
		}
	})
}
