package main

import (
	"beechgrade/internal/clock"
	"beechgrade/internal/metrics"
)

// state is where the process stands between its start and its end.
type state int

// The states, in their order.
const (
	starting state = iota // nobody is served yet
	serving
	draining // told to end: clients are served as before
	closing  // clients' connections are closed as they fall idle; what is owed is answered
	ended
)

var stateNames = [...]string{starting: "starting", serving: "serving", draining: "draining", closing: "closing", ended: "ended"}

// String is the state's name.
func (s state) String() string { return stateNames[s] }

// enter is the one place where the state changes. It only goes forward.
func (p *pooler) enter(next state) {
	if next <= p.state {
		return
	}
	p.log.Info("state", "from", p.state, "to", next, "sessions", p.front.SessionCount(),
		"open", p.core.OpenRequests(), "owes", p.front.HasPendingWork())
	p.loop.Metrics().Add(metrics.States, next.String())
	p.state = next
}

// Times of a drain in milliseconds, from the signal or from the longest deadline on. The process may be killed 700 ms after that.
const (
	minDrainMs     = 700   // after the signal new clients still come
	longestMs      = 3000  // counted as the longest deadline where that is longer
	closeClientsMs = 250   // after the longest deadline, clients' idle connections are closed
	lastAnswerMs   = 500   // after the longest deadline, all that came meanwhile has its answer
	drainPollMs    = 20    // between looks at whether something is still owed
	maxDrainMs     = 10000 // after the signal: a client that never goes does not keep the process
)

// drain ends the service. No new connections come after a while, as the clients' side hears of the restart, but
// those that there are stay in use for as long as they stay open: nobody else may be there to take their requests.
// So they are closed late, just soon enough to answer all before the process may be killed.
type drain struct {
	pooler     *pooler
	began      float64
	closeAt    float64 // when clients' connections are closed
	unlistened bool    // nobody can connect any more
}

// beginDrain begins the end of the service.
func (p *pooler) beginDrain() {
	longest := 0.0
	for _, c := range p.cfg.Settings.Classes {
		longest = max(longest, clock.Milliseconds(c.Deadline))
	}
	longest = min(longest, longestMs)
	d := &drain{pooler: p, began: p.loop.Now()}
	d.closeAt = d.began + longest + closeClientsMs
	p.enter(draining)
	p.core.SetLatestDeadline(d.began + longest + lastAnswerMs)
	p.loop.At(d.closeAt, func() {
		p.enter(closing)
		p.front.Drain()
	})
	d.look()
}

// look ends the process once nothing is owed, and looks again a little later otherwise.
func (d *drain) look() {
	p, now := d.pooler, d.pooler.loop.Now()
	over := now >= d.began+maxDrainMs
	if !over && d.needed(now) {
		p.loop.At(now+drainPollMs, d.look)
		return
	}
	// Clients that came in the last moment are served like any others; later ones find nobody and go elsewhere.
	if !over && !d.unlistened {
		d.unlistened = p.loop.StopListening()
		p.loop.At(now+drainPollMs, d.look)
		return
	}
	d.finish(now)
}

// needed tells whether the process is needed: clients may still come or ask, or somebody is owed something.
func (d *drain) needed(now float64) bool {
	mayCome := now < d.began+minDrainMs
	mayAsk := now < d.closeAt+drainPollMs && d.pooler.front.SessionCount() > 0
	return mayCome || mayAsk || d.pooler.busy()
}

// finish ends the service and the loop.
func (d *drain) finish(now float64) {
	p := d.pooler
	p.enter(ended)
	p.unanswered = p.front.PendingRequests()
	p.core.Guard().CheckShutdown(p.unanswered)
	p.log.Info("drained", "ms", now-d.began, "unanswered", p.unanswered)
	p.loop.Metrics().Log(p.log)
	p.front.CloseAll()
	p.loop.Shutdown()
}

// busy tells whether anybody is owed anything, or may be: clients that could not be accepted yet may have asked.
func (p *pooler) busy() bool {
	return p.core.OpenRequests() > 0 || p.front.HasPendingWork() || p.loop.AcceptPaused()
}
