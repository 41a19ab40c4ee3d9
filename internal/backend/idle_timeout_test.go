package backend

import (
	"math"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestIdleTimeoutEstimate guards against two faults: sending requests that must not run twice on connections that have been
// idle for too long, and avoiding good connections when connections break regardless of their idle time.
func TestIdleTimeoutEstimate(t *testing.T) {
	type sample struct {
		idleMs         float64
		answered, lost int
	}
	for name, c := range map[string]struct {
		samples []sample
		want    float64
	}{
		"no losses":                    {[]sample{{5, 100, 0}, {500, 100, 0}}, math.Inf(1)},
		"long idle ones break":         {[]sample{{5, 100, 0}, {30, 50, 0}, {120, 20, 10}, {500, 5, 5}}, 100},
		"too few losses":               {[]sample{{5, 100, 0}, {120, 5, 2}}, math.Inf(1)},
		"same share at all idle times": {[]sample{{5, 90, 10}, {30, 45, 5}, {120, 27, 3}}, math.Inf(1)},
		"only short idle ones break":   {[]sample{{5, 90, 10}, {120, 30, 0}}, math.Inf(1)},
		"losses within tolerance":      {[]sample{{5, 100, 0}, {120, 200, 4}}, math.Inf(1)},
		"last bucket":                  {[]sample{{5, 100, 0}, {5000, 0, 3}}, 1600},
	} {
		e := newIdleTimeoutEstimate()
		for _, s := range c.samples {
			for range s.answered {
				e.record(1000, s.idleMs, false)
			}
			for range s.lost {
				e.record(1000, s.idleMs, true)
			}
		}
		if diff := cmp.Diff(c.want, e.limitMs); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
		e.record(1000+10*lossDecayMs, 5, false)
		if !math.IsInf(e.limitMs, 1) {
			t.Errorf("%s: the estimate did not decay", name)
		}
	}
}
