package core

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"beechgrade"
	"beechgrade/internal/clock"
	"beechgrade/internal/config"
	"beechgrade/internal/loop"
)

// TestRecordEndLogsFailedRequests checks the log line that lets an operator follow a request that ended badly, and the limit
// on the number of lines: during an outage, most requests end badly.
func TestRecordEndLogsFailedRequests(t *testing.T) {
	var out bytes.Buffer
	clk := &clock.Manual{Ms: 5000}
	c := &Core{loop: loop.New(clk, nil, nil, nil), log: slog.New(slog.NewTextHandler(&out, nil)), cfg: &config.Config{
		Settings: beechgrade.Settings{Classes: []beechgrade.Class{{LatencyTarget: 200 * time.Millisecond}}},
		Classes:  []string{"browse"}}}
	req := &request{id: "7f", arrivedAt: 4700, deadline: 5500, group: 2, attempts: []attempt{
		{server: "a", startedAt: 4700, waitedMs: 3, endedAt: 4752, result: beechgrade.Misdirected},
		{server: "b", startedAt: 4752},
	}}
	c.recordEnd(req, "refused")
	for _, want := range []string{"id=7f", "how=refused", "class=browse", "group=2", "ms=300", "patience=800",
		`tries="a:0+3-52:missed b:52+0"`, "omitted=0"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%s is missing in the line: %s", want, out.String())
		}
	}
	out.Reset()
	c.recordEnd(&request{id: "80", arrivedAt: 4900, deadline: 5500}, "served") // within its latency target
	if out.Len() != 0 {
		t.Errorf("a request that ended well is logged: %s", out.String())
	}
	for range 2 * maxLoggedPerSecond {
		c.recordEnd(req, "served")
	}
	if n := strings.Count(out.String(), "\n"); n != maxLoggedPerSecond-1 {
		t.Errorf("%d more lines in one second, want %d", n, maxLoggedPerSecond-1)
	}
	clk.Ms += 1000
	out.Reset()
	c.recordEnd(req, "failed")
	if !strings.Contains(out.String(), "omitted=21") {
		t.Errorf("the line does not say how many lines were omitted: %s", out.String())
	}
}
