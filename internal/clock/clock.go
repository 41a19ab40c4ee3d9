// Package clock is the program's only source of time. Times are float64 values in milliseconds: the Unix time at the start
// of the program plus the time that has passed on the monotonic clock since. So the clock never jumps, and FromUnix is all
// that is needed to convert positions and start times that servers and discovery report.
package clock

import (
	"math"
	"time"
)

// Clock returns the time in milliseconds. Tests use Manual.
type Clock interface{ Now() float64 }

type system struct {
	startedAt time.Time
	unixMs    float64
}

// System returns a clock that follows the clocks of the machine.
func System() Clock {
	now := time.Now()
	return &system{startedAt: now, unixMs: float64(now.UnixNano()) / 1e6}
}

func (s *system) Now() float64 {
	return s.unixMs + float64(time.Since(s.startedAt))/1e6
}

// Manual is a clock whose time is set by tests.
type Manual struct{ Ms float64 }

// Now returns the time that was set.
func (m *Manual) Now() float64 { return m.Ms }

// FromUnix converts Unix milliseconds, as received from servers and discovery, to the clock's scale.
func FromUnix(ms int64) float64 { return float64(ms) }

// Duration converts milliseconds to a time.Duration. The conversion of whole milliseconds is exact. Otherwise a position and
// the commit that it has to reach would not compare as equal.
func Duration(ms float64) time.Duration {
	whole, part := math.Modf(ms)
	return time.Duration(whole)*time.Millisecond + time.Duration(part*float64(time.Millisecond))
}

// Milliseconds converts a time.Duration to milliseconds.
func Milliseconds(d time.Duration) float64 {
	return float64(d/time.Millisecond) + float64(d%time.Millisecond)/float64(time.Millisecond)
}
