package core

import (
	"fmt"
	"strings"

	"beechgrade/internal/clock"
	"beechgrade/internal/metrics"
)

// tracesEach bounds the lines about requests that ended badly, per second: on a bad day most do.
const tracesEach = 20

// tracer logs requests that ended badly, each from its arrival to its end.
type tracer struct {
	second  int64 // of the clock
	logged  int   // in that second
	omitted int   // since the last line
}

// trace logs how a request ended, unless that was well: each attempt with its server, the time from the request's
// arrival to its start, on its connection and at its end, in milliseconds, and its result.
func (c *Core) trace(q *request, how string) {
	now := c.loop.Now()
	c.loop.Metrics().Add(metrics.Requests, how)
	if how == "served" && now-q.arrived <= clock.Milliseconds(c.cfg.Settings.Classes[q.class].LatencyTarget) {
		return
	}
	t := &c.traces
	if s := int64(now / 1000); s != t.second {
		t.second, t.logged = s, 0
	}
	if t.logged++; t.logged > tracesEach {
		t.omitted++
		return
	}
	var b strings.Builder
	for i := range q.tries {
		y := &q.tries[i]
		fmt.Fprintf(&b, "%s:%.0f+%.0f", y.server, y.began-q.arrived, y.waited)
		if y.ended > 0 {
			fmt.Fprintf(&b, "-%.0f:%s", y.ended-q.arrived, y.result)
		}
		b.WriteByte(' ')
	}
	c.log.Info("request ended", "id", q.id, "how", how, "class", c.cfg.Classes[q.class], "group", q.group,
		"repeat", q.repeat, "why", q.why, "ms", int(now-q.arrived), "patience", int(q.due-q.arrived), "tries", strings.TrimSpace(b.String()),
		"omitted", t.omitted)
	t.omitted = 0
}
