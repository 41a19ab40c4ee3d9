package clock

import (
	"testing"
	"time"
)

// TestWholeMillisecondsAreExact: the router compares a position with the commit that it must reach. A conversion that is off
// by a nanosecond would make equal times differ.
func TestWholeMillisecondsAreExact(t *testing.T) {
	for _, ms := range []int64{1, 999, 1767225600123, 1767225600124} {
		if got := Duration(FromUnix(ms)); got != time.Duration(ms)*time.Millisecond {
			t.Errorf("%d ms became %d ns, want the same time", ms, got)
		}
		if got := Milliseconds(Duration(FromUnix(ms))); got != float64(ms) {
			t.Errorf("%d ms came back as %v ms", ms, got)
		}
	}
	if now, unix := System().Now(), float64(time.Now().UnixMilli()); now > unix+1000 || now < unix-1000 {
		t.Errorf("clock shows %v, want within 1000 ms of the Unix time %v", now, unix)
	}
}
