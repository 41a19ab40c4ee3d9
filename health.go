package beechgrade

import (
	"slices"
	"time"
)

// wayTook notes the time of a probe or a failed connection, and tells whether the way may explain a failure.
func (r *Router) wayTook(s *server, took Time) bool {
	passed := r.ways[s.entry.Zone].passed
	if passed > r.now-took { // others got through and back meanwhile: it is the server
		return false
	}
	r.ways[s.entry.Zone] = way{(r.way(s) + took.Seconds()) / 2, r.now, passed}
	return s.entry.Zone != r.set.Zone && took >= stall
}

// failing is the chance that a server answers a request with a failure: from its last answers, fading.
func (r *Router) failing(s *server) float64 {
	return s.fails * r.fading(s.failedAt, failMemory)
}

// alive notes an answer. One sent before the server was found bad does not show that it takes more.
func (r *Router) alive(s *server, a *attempt) {
	w := r.ways[s.entry.Zone]
	w.passed = max(w.passed, a.sent)
	s.answered, r.ways[s.entry.Zone] = r.now, w
	if a.sent >= s.badAt || s.refusedSince == 0 {
		r.well(s)
	} else {
		s.refusedSince = r.now
	}
}

// well takes a server back. One that refused connections for a while probably restarted and is cold.
func (r *Router) well(s *server) {
	if s.health == down && s.refusedSince != 0 && r.now-s.refusedSince >= outage {
		s.coldFrom = max(s.coldFrom, r.now)
	}
	s.refusedSince, s.probeFails, s.health = 0, 0, healthy
}

func (r *Router) bad(s *server) {
	if s.health != down {
		r.act(Action{Kind: Log, Text: "server " + string(s.id) + " down"})
	}
	s.health, s.badAt = down, r.now
}

// refused notes a connection that was refused or broke. Healthy servers' break too: only a second one with no
// answer between takes the server out. A probe asks meanwhile.
func (r *Router) refused(s *server) {
	if s.refusedSince != 0 || s.health != healthy {
		r.bad(s)
	}
	if s.refusedSince == 0 {
		s.refusedSince = r.now
	}
}

// silent tells whether a server left requests unanswered for longer than chance explains. Probes do not
// count.
func (r *Router) silent(s *server) bool {
	first, n, longest := r.now, 0.0, r.work
	for _, a := range s.open {
		if a.passed == 0 && !a.lost { // one overtaken tells of itself, not of the server
			first, n, longest = min(first, a.sent), n+1, max(longest, a.req.work())
		}
	}
	load, _ := r.load(s)
	turn := longest / (r.rateOf(s) * r.share(s, load))
	limit := turn*(silentTurns+silentJobs/min(r.width(s), n)) + r.way(s)
	return n > 0 && (r.now-max(s.answered, first)).Seconds() > limit
}

func (r *Router) onProbe(e *ProbeResult) {
	s := r.servers[e.Server]
	if s == nil {
		return
	}
	slow := s.probing && r.wayTook(s, r.now-s.probeAt)
	s.probing = false
	if e.Result == Overloaded || e.Result == Failed || e.Result == Skipped || e.Result != OK && slow {
		return // what tells nothing: it neither takes a server out nor back
	}
	if e.Result != OK {
		s.probeFails++
		if e.Result == Unreachable || e.Result == Reset {
			r.refused(s)
		} else {
			r.bad(s)
		}
		return
	}
	s.probeFails = 0
	// A primary's position is the present, so it is the time of the report.
	r.learn(s, e.Report, e.Report.Position)
	if s.health == down {
		// Reached beside its queue: requests have to prove it. What it held may be gone and is no load.
		r.well(s)
		s.health = onTrial
		s.loseOpen()
	}
	s.refusedSince = 0
	r.pump(s.group)
}

// probe asks a server how it is, unless it was asked within pause.
func (r *Router) probe(s *server, pause time.Duration) {
	if !r.set.MayProbe || s.probing || !s.listed() || s.probeAt != never && r.now-s.probeAt < pause {
		return
	}
	s.probing, s.probeAt = true, r.now
	r.act(Action{Kind: Probe, Server: s.id})
}

// tend finds silent servers of a busy group, and probes those down, or all while a write waits for a primary.
func (r *Router) tend(g *group) {
	p := r.primary(g)
	seek := (p == nil || !p.usable()) && slices.ContainsFunc(g.held, (*request).primaryOnly)
	for _, s := range g.members {
		r.advance(s)
		if s.health != down && r.silent(s) {
			r.bad(s)
		}
		if s.health == down && !r.set.MayProbe {
			r.tryOut(s)
		} else if s.health == down {
			r.probe(s, probePause(s))
		} else if s.refusedSince != 0 {
			r.probe(s, beat)
		} else if seek {
			r.probe(s, r.seekEach)
		}
	}
}

// probePause is the time between probes of a server thought down.
func probePause(s *server) Time { return probeDown << min(max(0, s.probeFails-probeSoon), probeMost) }

// tryOut puts a server that is down on trial after a while, where no probe may ask whether it is well: only
// requests can tell then.
func (r *Router) tryOut(s *server) {
	if r.now-s.badAt < probePause(s) {
		return
	}
	s.probeFails++
	fails := s.probeFails
	r.well(s)
	s.probeFails, s.health = fails, onTrial
	s.loseOpen()
}

// countLost counts an ended attempt towards the part that is lost. One called off early may have been slow.
func (r *Router) countLost(s *server, a *attempt, res Result) {
	lost := 0.0
	switch {
	case res == Unreachable || res == Skipped || res == Reset:
		return
	case res == Cancelled || res == TimedOut:
		if a.passed < lostPassed || !a.lost {
			return
		}
		if lost = 0.5; r.had(s, a) > lostAfter {
			lost = 1
		}
	}
	r.losing += (lost - r.losing) / lostMemory
}
