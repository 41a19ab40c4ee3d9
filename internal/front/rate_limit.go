package front

import (
	"time"

	"golang.org/x/time/rate"

	"beechgrade/internal/clock"
	"beechgrade/internal/loop"
	"beechgrade/internal/metrics"
)

// Limits on the commands that are answered without a server: empty statements, settings, errors and refusals. Requests that are
// forwarded do not count.
const (
	// answersPerSecond and answersBurst are each session's own share.
	answersPerSecond = 100
	answersBurst     = 256
	// sharedAnswersPerSecond and sharedAnswersBurst may be used by any session beyond its own share.
	sharedAnswersPerSecond = 2000
	sharedAnswersBurst     = 256
	// throttleRecheckMs is the time in milliseconds until the commands of a throttled session are processed again.
	throttleRecheckMs = 10
)

// Limits on sessions that end with a protocol error. Clients may connect again as soon as they are turned away.
const (
	protocolErrorsPerSecond = 100
	protocolErrorsBurst     = 100
	// maxErrorDelayMs is the longest time in milliseconds for which the error is held back.
	maxErrorDelayMs = 500
)

// limiter limits the rate of some events on the loop's clock.
type limiter struct {
	loop *loop.Loop
	rate *rate.Limiter
}

func newLimiter(l *loop.Loop, perSecond, burst int) limiter {
	return limiter{l, rate.NewLimiter(rate.Limit(perSecond), burst)}
}

// now returns the loop's time in the form that package rate takes.
func (l limiter) now() time.Time { return time.Unix(0, 0).Add(clock.Duration(l.loop.Now())) }

// available reports whether an event may happen now.
func (l limiter) available() bool { return l.rate.TokensAt(l.now()) >= 1 }

// take counts an event, and reports whether it was within the limit.
func (l limiter) take() bool { return l.rate.AllowN(l.now(), 1) }

// delayMs counts an event and returns the time in milliseconds by which it exceeds the limit, at most maxMs.
func (l limiter) delayMs(maxMs float64) float64 {
	now := l.now()
	reservation := l.rate.ReserveN(now, 1)
	delay := clock.Milliseconds(reservation.DelayFrom(now))
	if delay > maxMs {
		reservation.CancelAt(now)
		return maxMs
	}
	return delay
}

// mayAnswer reports whether a command may be answered without a server now: the session's own share of such answers or the shared
// one is not used up.
func (s *session) mayAnswer() bool { return s.answers.available() || s.front.sharedAnswers.available() }

// countAnswer counts a command that was answered without a server.
func (s *session) countAnswer() {
	if !s.answers.take() {
		s.front.sharedAnswers.take()
	}
}

// errorDelayMs returns the time in milliseconds for which the session's protocol error is held back. It is not held back while
// descriptors are scarce, because the connection takes one.
func (s *session) errorDelayMs() float64 {
	if s.front.budget.SpareDescriptors() < maxHalfClosed {
		return 0
	}
	delayMs := s.front.protocolErrors.delayMs(maxErrorDelayMs)
	if delayMs > 0 {
		s.front.loop.Metrics().Add(metrics.ClientLimits, "error_delayed")
	}
	return delayMs
}
