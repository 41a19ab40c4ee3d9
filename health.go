package beechgrade

import (
	"slices"
	"time"
)

// recordZoneLatency notes the time of a probe or a failed connection, and tells whether the way may explain
// a failure.
func (r *Router) recordZoneLatency(s *server, took Time) bool {
	lastAnsweredSend := r.zoneLatencies[s.entry.Zone].lastAnsweredSend
	if lastAnsweredSend > r.now-took { // others got through and back meanwhile: it is the server
		return false
	}
	r.zoneLatencies[s.entry.Zone] = zoneLatency{
		(r.zoneLatency(s) + took.Seconds()) / 2, r.now, lastAnsweredSend}
	return s.entry.Zone != r.cfg.Zone && took >= pauseThreshold
}

// failureChance is the chance that a server answers a request with a failure: from its last answers,
// fading.
func (r *Router) failureChance(s *server) float64 {
	return s.lastFailureChance * r.freshness(s.failureChanceAt, failureMemory)
}

// recordAnswer notes an answer. One sent before the server was found bad does not show that it takes more.
func (r *Router) recordAnswer(s *server, a *attempt) {
	latency := r.zoneLatencies[s.entry.Zone]
	latency.lastAnsweredSend = max(latency.lastAnsweredSend, a.sentAt)
	s.lastAnswer, r.zoneLatencies[s.entry.Zone] = r.now, latency
	if a.sentAt >= s.downAt || s.refusedSince == 0 {
		r.markHealthy(s)
	} else {
		s.refusedSince = r.now
	}
}

// markHealthy takes a server back. One that refused connections for a while probably restarted and is cold.
func (r *Router) markHealthy(s *server) {
	if s.health == down && s.refusedSince != 0 && r.now-s.refusedSince >= restartOutage {
		s.coldSince = max(s.coldSince, r.now)
	}
	s.refusedSince, s.probeFailures, s.health = 0, 0, healthy
}

func (r *Router) markDown(s *server) {
	if s.health != down {
		r.emit(Action{Kind: Log, Text: "server " + string(s.id) + " down"})
	}
	s.health, s.downAt = down, r.now
}

// recordRefusal notes a connection that was refused or broke. Healthy servers' break too: only a second one
// with no answer between takes the server out. A probe asks meanwhile.
func (r *Router) recordRefusal(s *server) {
	if s.refusedSince != 0 || s.health != healthy {
		r.markDown(s)
	}
	if s.refusedSince == 0 {
		s.refusedSince = r.now
	}
}

// isSilent tells whether a server left requests unanswered for longer than chance explains. Probes do not
// count.
func (r *Router) isSilent(s *server) bool {
	firstSent, n, longest := r.now, 0.0, r.meanWork
	for _, a := range s.inFlight {
		if a.overtakenBy == 0 && !a.presumedLost { // one overtaken tells of itself, not of the server
			firstSent, n, longest = min(firstSent, a.sentAt), n+1, max(longest, a.req.expectedWork())
		}
	}
	load, _ := r.load(s)
	serviceTime := longest / (r.currentRate(s) * r.rateShare(s, load))
	limit := serviceTime*(silentServiceTimes+silentGaps/min(r.concurrencyLimit(s), n)) + r.zoneLatency(s)
	return n > 0 && (r.now-max(s.lastAnswer, firstSent)).Seconds() > limit
}

func (r *Router) onProbeResult(e *ProbeResult) {
	s := r.servers[e.Server]
	if s == nil {
		return
	}
	slowZone := s.probing && r.recordZoneLatency(s, r.now-s.lastProbe)
	s.probing = false
	if e.Result == Overloaded || e.Result == Failed || e.Result == Skipped || e.Result != OK && slowZone {
		return // what tells nothing: it neither takes a server out nor back
	}
	if e.Result != OK {
		s.probeFailures++
		if e.Result == Unreachable || e.Result == Reset {
			r.recordRefusal(s)
		} else {
			r.markDown(s)
		}
		return
	}
	s.probeFailures = 0
	// A primary's position is the present, so it is the time of the report.
	r.applyReport(s, e.Report, e.Report.Position)
	if s.health == down {
		// Reached beside its queue: requests have to prove it. What it held may be gone and is no load.
		r.markHealthy(s)
		s.health = onTrial
		s.presumeAllLost()
	}
	s.refusedSince = 0
	r.dispatch(s.group)
}

// probe asks a server how it is, unless it was asked within pause.
func (r *Router) probe(s *server, pause time.Duration) {
	if !r.cfg.MayProbe || s.probing || !s.allowedByList() ||
		s.lastProbe != never && r.now-s.lastProbe < pause {
		return
	}
	s.probing, s.lastProbe = true, r.now
	r.emit(Action{Kind: Probe, Server: s.id})
}

// checkHealth finds silent servers of a busy group, and probes those down, or all while a write waits for a
// primary.
func (r *Router) checkHealth(g *group) {
	p := r.primary(g)
	seekPrimary := (p == nil || !p.usable()) && slices.ContainsFunc(g.waiting, (*request).primaryOnly)
	for _, s := range g.members {
		r.advanceService(s)
		if s.health != down && r.isSilent(s) {
			r.markDown(s)
		}
		if s.health == down && !r.cfg.MayProbe {
			r.startTrial(s)
		} else if s.health == down {
			r.probe(s, probePause(s))
		} else if s.refusedSince != 0 {
			r.probe(s, housekeepingInterval)
		} else if seekPrimary {
			r.probe(s, r.primarySearchInterval)
		}
	}
}

// probePause is the time between probes of a server thought down.
func probePause(s *server) Time {
	return downProbeInterval << min(max(0, s.probeFailures-probeBackoffAfter), maxProbeDoublings)
}

// startTrial puts a server that is down on trial after a while, where no probe may ask whether it is well:
// only requests can tell then.
func (r *Router) startTrial(s *server) {
	if r.now-s.downAt < probePause(s) {
		return
	}
	s.probeFailures++
	fails := s.probeFailures
	r.markHealthy(s)
	s.probeFailures, s.health = fails, onTrial
	s.presumeAllLost()
}

// recordLoss counts an ended attempt towards the part that is lost. One called off early may have been
// slow.
func (r *Router) recordLoss(s *server, a *attempt, result Result) {
	lost := 0.0
	switch {
	case result == Unreachable || result == Skipped || result == Reset:
		return
	case result == Cancelled || result == TimedOut:
		if a.overtakenBy < lostOvertakenBy || !a.presumedLost {
			return
		}
		if lost = 0.5; r.serviceRatio(s, a) > maxLostRatio {
			lost = 1
		}
	}
	r.lossRate += (lost - r.lossRate) / lossRateMemory
}
