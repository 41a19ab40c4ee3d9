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

// TestTrace guards the line by which an operator follows a request that ended badly, and its bound: on a bad day most do.
func TestTrace(t *testing.T) {
	var out bytes.Buffer
	clk := &clock.Manual{Ms: 5000}
	c := &Core{loop: loop.New(clk, nil, nil, nil), log: slog.New(slog.NewTextHandler(&out, nil)), cfg: &config.Config{
		Settings: beechgrade.Settings{Classes: []beechgrade.Class{{LatencyTarget: 200 * time.Millisecond}}}, Classes: []string{"browse"}}}
	q := &request{id: "7f", arrived: 4700, due: 5500, group: 2, tries: []try{
		{server: "a", began: 4700, waited: 3, ended: 4752, result: beechgrade.Misdirected},
		{server: "b", began: 4752},
	}}
	c.trace(q, "refused")
	for _, want := range []string{"id=7f", "how=refused", "class=browse", "group=2", "ms=300", "patience=800",
		`tries="a:0+3-52:missed b:52+0"`, "omitted=0"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("no %s in %s", want, out.String())
		}
	}
	out.Reset()
	c.trace(&request{id: "80", arrived: 4900, due: 5500}, "served") // in time
	if out.Len() != 0 {
		t.Errorf("a request that ended well is logged: %s", out.String())
	}
	for range 2 * tracesEach {
		c.trace(q, "served")
	}
	if n := strings.Count(out.String(), "\n"); n != tracesEach-1 {
		t.Errorf("%d more lines in one second, want %d", n, tracesEach-1)
	}
	clk.Ms += 1000
	out.Reset()
	c.trace(q, "failed")
	if !strings.Contains(out.String(), "omitted=21") {
		t.Errorf("not told how many lines were left out: %s", out.String())
	}
}
