package backend

import (
	"io"
	"math"
	"testing"

	"beechgrade"
	"beechgrade/internal/pgwire"
	"beechgrade/internal/slots"
)

// deserted is told of ends, and no client waits for any of it.
type deserted struct{ told }

func (deserted) StillWanted(Tag) bool { return false }

// TestNobodyWaitsAnyMore: the process is held up while an attempt waits for its connection, and its client goes meanwhile. The loop
// comes to the connection first, asks whether the attempt is still wanted, and does not send it.
func TestNobodyWaitsAnyMore(t *testing.T) {
	for name, c := range map[string]struct {
		heldUpMs float64
		want     beechgrade.Result
	}{"held up": {150, beechgrade.Skipped}, "in time": {0, beechgrade.Failed}} {
		t.Run(name, func(t *testing.T) {
			events, server := deserted{make(told, 9)}, listen(t)
			r := newRig(t, events, options())
			r.events = events.told
			r.do(func() {
				r.pool.SetAddress("s", server.Addr().String())
				r.pool.Start("s", events, r.clk.Ms+9000, math.Inf(1), true, Tag{})
			})
			far := accept(t, server)
			r.do(func() {
				say(t, far, pgwire.AppendWelcome(nil))
				r.pool.conns.Each(func(_ slots.Ref, c *conn) {
					for c.c != nil && c.c.Quiet() { // until the welcome is there to be read
					}
				})
				r.clk.Ms += c.heldUpMs
			})
			if c.want == beechgrade.Failed { // it was sent: what comes back is no answer
				r.until(func() bool { return r.pool.busyConn() != nil })
				say(t, far, []byte("noise"))
			}
			if o := r.next(); o.Result != c.want {
				t.Errorf("result %v, want %v", o.Result, c.want)
			}
		})
	}
}

// TestQueryNotTakenWhole: what a query says of the time that its client has left is true for a moment only. Where the server does not
// take it whole by then, it is never sent whole, and its attempt has not run.
func TestQueryNotTakenWhole(t *testing.T) {
	events, server := make(told, 9), listen(t)
	r := newRig(t, events, options())
	r.do(func() {
		r.pool.SetAddress("s", server.Addr().String())
		r.pool.Start("s", large{}, r.clk.Ms+9000, math.Inf(1), true, Tag{})
	})
	far := accept(t, server)
	say(t, far, pgwire.AppendWelcome(nil))
	r.until(func() bool { return r.pool.busyConn() != nil && r.pool.busyConn().c.Unsent() > 0 })
	r.do(func() { r.clk.Ms += wholeMs - 1 })
	if r.do(func() {}); len(events) > 0 {
		t.Fatalf("ended early: %v", (<-events).Result)
	}
	r.do(func() { r.clk.Ms += 1 })
	if o := r.next(); o.Result != beechgrade.Skipped {
		t.Errorf("result %v", o.Result)
	}
	whole := len(large{}.AppendQuery(nil, 0)) + len(pgwire.AppendStartup(nil, "", ""))
	if n, _ := io.Copy(io.Discard, far); int(n) >= whole {
		t.Errorf("%d bytes of %d arrived", n, whole)
	}
}
