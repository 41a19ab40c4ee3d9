package main

import (
	"beechgrade/internal/clock"
	"beechgrade/internal/metrics"
)

// state is a stage in the life of the process.
type state int

// The states, in the order in which the process enters them.
const (
	starting state = iota // does not serve yet
	serving
	draining // received a signal to stop; serves clients as before
	closing  // closes clients' connections as they become idle, and still answers requests
	ended
)

var stateNames = [...]string{starting: "starting", serving: "serving", draining: "draining", closing: "closing", ended: "ended"}

// String returns the name of the state.
func (s state) String() string { return stateNames[s] }

// setState enters the next state. It does nothing if the process is in that state or a later one. Only setState changes the
// state.
func (p *pooler) setState(next state) {
	if next <= p.state {
		return
	}
	p.log.Info("state", "from", p.state, "to", next, "sessions", p.front.SessionCount(),
		"open", p.core.OpenRequests(), "owes", p.front.HasPendingWork())
	p.loop.Metrics().Add(metrics.States, next.String())
	p.state = next
}

// Times of a drain, in milliseconds. The process may be killed once the longest deadline of all request classes and 700 ms
// have passed since the signal.
const (
	// minDrainMs is the time after the signal for which new clients may still connect.
	minDrainMs = 700
	// maxLongestDeadlineMs is used in place of the longest deadline if that is longer.
	maxLongestDeadlineMs = 3000
	// closeClientsAfterMs is the time after the longest deadline at which idle connections of clients are closed.
	closeClientsAfterMs = 250
	// answerAllAfterMs is the time after the longest deadline by which all requests received during the drain are answered.
	answerAllAfterMs = 500
	// drainCheckIntervalMs is the time between two checks of whether the process can end.
	drainCheckIntervalMs = 20
	// maxDrainMs is the time after the signal at which the process ends in any case. Without it, a client that does not
	// disconnect could keep the process running.
	maxDrainMs = 10000
)

// drain is a graceful shutdown. New clients stop connecting after a while, when they learn of the restart. Existing
// connections stay in use for as long as they are open, because there may be no other pooler for their requests. They are
// therefore closed late, just early enough to answer all requests before the process may be killed.
type drain struct {
	pooler           *pooler
	startMs          float64
	closeClientsAtMs float64 // when idle connections of clients are closed
	listenerClosed   bool    // no client can connect any more
}

// beginDrain starts a graceful shutdown.
func (p *pooler) beginDrain() {
	longestDeadlineMs := 0.0
	for _, c := range p.cfg.Settings.Classes {
		longestDeadlineMs = max(longestDeadlineMs, clock.Milliseconds(c.Deadline))
	}
	longestDeadlineMs = min(longestDeadlineMs, maxLongestDeadlineMs)
	d := &drain{pooler: p, startMs: p.loop.Now()}
	d.closeClientsAtMs = d.startMs + longestDeadlineMs + closeClientsAfterMs
	p.setState(draining)
	p.core.SetLatestDeadline(d.startMs + longestDeadlineMs + answerAllAfterMs)
	p.loop.At(d.closeClientsAtMs, func() {
		p.setState(closing)
		p.front.Drain()
	})
	d.check()
}

// check ends the process if nothing is pending, and otherwise schedules the next check.
func (d *drain) check() {
	p, now := d.pooler, d.pooler.loop.Now()
	timedOut := now >= d.startMs+maxDrainMs
	if !timedOut && d.processNeeded(now) {
		p.loop.At(now+drainCheckIntervalMs, d.check)
		return
	}
	// Closing the listener accepts the clients that wait in its queue, and they are served like any others. Later clients are
	// refused and can connect to another pooler.
	if !timedOut && !d.listenerClosed {
		d.listenerClosed = p.loop.StopListening()
		p.loop.At(now+drainCheckIntervalMs, d.check)
		return
	}
	d.finish(now)
}

// processNeeded reports whether the process must continue: clients may still connect or send requests, or work is pending.
func (d *drain) processNeeded(now float64) bool {
	mayConnect := now < d.startMs+minDrainMs
	maySendRequest := now < d.closeClientsAtMs+drainCheckIntervalMs && d.pooler.front.SessionCount() > 0
	return mayConnect || maySendRequest || d.pooler.hasPendingWork()
}

// finish closes all connections and ends the loop. It records how many requests have no answer.
func (d *drain) finish(now float64) {
	p := d.pooler
	p.setState(ended)
	p.unanswered = p.front.PendingRequests()
	p.core.Guard().CheckShutdown(p.unanswered)
	p.log.Info("drained", "ms", now-d.startMs, "unanswered", p.unanswered)
	p.loop.Metrics().Log(p.log)
	p.front.CloseAll()
	p.loop.Shutdown()
}

// hasPendingWork reports whether a client waits for an answer, or may do so: a client that could not be accepted yet may have
// sent a request already.
func (p *pooler) hasPendingWork() bool {
	return p.core.OpenRequests() > 0 || p.front.HasPendingWork() || p.loop.AcceptPaused()
}
