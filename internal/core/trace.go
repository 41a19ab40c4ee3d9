package core

import (
	"fmt"
	"strings"

	"beechgrade/internal/clock"
	"beechgrade/internal/metrics"
)

// maxLoggedPerSecond limits the number of log lines about ended requests per second: during an outage, most requests end
// badly.
const maxLoggedPerSecond = 20

// logLimit is the state of the limit on log lines about ended requests.
type logLimit struct {
	second  int64 // current second of the loop's clock
	logged  int   // requests to be logged in that second, including omitted ones
	omitted int   // lines omitted since the last one that was written
}

// recordEnd counts how a request ended, and logs it unless it was served within its latency target. The line lists each
// attempt as "server:start+wait-end:result", in milliseconds: start and end count from the arrival of the request, and wait
// is the time that the attempt waited for a connection.
func (c *Core) recordEnd(req *request, outcome string) {
	now := c.loop.Now()
	c.loop.Metrics().Add(metrics.Requests, outcome)
	if outcome == "served" && now-req.arrivedAt <= clock.Milliseconds(c.cfg.Settings.Classes[req.class].LatencyTarget) {
		return
	}
	limit := &c.logLimit
	if second := int64(now / 1000); second != limit.second {
		limit.second, limit.logged = second, 0
	}
	if limit.logged++; limit.logged > maxLoggedPerSecond {
		limit.omitted++
		return
	}
	var text strings.Builder
	for i := range req.attempts {
		a := &req.attempts[i]
		fmt.Fprintf(&text, "%s:%.0f+%.0f", a.server, a.startedAt-req.arrivedAt, a.waitedMs)
		if a.endedAt > 0 {
			fmt.Fprintf(&text, "-%.0f:%s", a.endedAt-req.arrivedAt, a.result)
		}
		text.WriteByte(' ')
	}
	c.log.Info("request ended", "id", req.id, "how", outcome, "class", c.cfg.Classes[req.class], "group", req.group,
		"repeat", req.retry, "why", req.reason, "ms", int(now-req.arrivedAt), "patience", int(req.deadline-req.arrivedAt),
		"tries", strings.TrimSpace(text.String()), "omitted", limit.omitted)
	limit.omitted = 0
}
