package backend

import (
	"io"
	"math"
	"testing"

	"beechgrade"
	"beechgrade/internal/pgwire"
)

// forbidding is told of ends, and lets an attempt be sent or not.
type forbidding struct {
	told
	may bool
}

func (f forbidding) BeforeSend(AttemptID, float64) (int, bool) { return 1, f.may }

// TestAsksBeforeItSends: an attempt waits for its connection. Right before it is written the pool asks whether it still may be, as its
// client may have gone meanwhile, and does not write it otherwise.
func TestAsksBeforeItSends(t *testing.T) {
	for name, c := range map[string]struct {
		may  bool
		want beechgrade.Result
	}{"not any more": {false, beechgrade.Skipped}, "still": {true, beechgrade.Failed}} {
		t.Run(name, func(t *testing.T) {
			events, server := forbidding{make(told, 9), c.may}, listen(t)
			r := newRig(t, events, options())
			r.events = events.told
			r.do(func() {
				r.pool.SetAddress("s", server.Addr().String())
				r.pool.StartAttempt("s", events, r.clk.Ms+9000, math.Inf(1), true, AttemptID{})
			})
			far := accept(t, server)
			say(t, far, pgwire.AppendStartupReply(nil))
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
		r.pool.StartAttempt("s", large{}, r.clk.Ms+9000, math.Inf(1), true, AttemptID{})
	})
	far := accept(t, server)
	say(t, far, pgwire.AppendStartupReply(nil))
	r.until(func() bool { return r.pool.busyConn() != nil && r.pool.busyConn().c.UnsentBytes() > 0 })
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
