package beechgrade

import (
	"slices"
	"time"
)

// recordZoneLatency records how long a probe or failed connection took, and reports whether a slow path to
// the zone may explain a failure.
func (r *Router) recordZoneLatency(s *server, latency Time) bool {
	lastAnsweredSend := r.zoneLatencies[s.entry.Zone].lastAnsweredSend
	if lastAnsweredSend > r.now-latency { // a later send into the zone was answered, so the server is slow
		return false
	}
	r.zoneLatencies[s.entry.Zone] = zoneLatency{
		(r.zoneLatency(s) + latency.Seconds()) / 2, r.now, lastAnsweredSend}
	return s.entry.Zone != r.cfg.Zone && latency >= pauseThreshold
}

// failureChance returns the chance that a server answers a request with a failure, estimated from its last
// answers. Without new ones it falls to zero over failureMemory.
func (r *Router) failureChance(s *server) float64 {
	return s.lastFailureChance * r.freshness(s.failureChanceAt, failureMemory)
}

// recordAnswer records an answer. The answer to an attempt sent before the server was found down does not
// show that the server accepts new requests.
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

// markHealthy puts a server back into use. If it refused connections for restartOutage, it has probably
// restarted and is cold.
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

// recordRefusal records a refused or broken connection. Connections to healthy servers also break, so a
// healthy server is marked down only by a second one without an answer in between. It is probed meanwhile.
func (r *Router) recordRefusal(s *server) {
	if s.refusedSince != 0 || s.health != healthy {
		r.markDown(s)
	}
	if s.refusedSince == 0 {
		s.refusedSince = r.now
	}
}

// isSilent reports whether a server has left requests unanswered for longer than chance explains. Probes do
// not count.
func (r *Router) isSilent(s *server) bool {
	firstSent, n, longest := r.now, 0.0, r.meanWork
	for _, a := range s.inFlight {
		if a.overtakenBy == 0 && !a.presumedLost { // an overtaken attempt says nothing about the server
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
		return // inconclusive: it neither marks the server down nor puts it back into use
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
	// The position of a primary is the current time, so it is the time of the report as well.
	r.applyReport(s, e.Report, e.Report.Position)
	if s.health == down {
		// Probes bypass the server's queue, so requests have to show that it works. Its attempts in flight
		// may be lost and do not count as load.
		r.markHealthy(s)
		s.health = onTrial
		s.presumeAllLost()
	}
	s.refusedSince = 0
	r.dispatch(s.group)
}

// probe probes a server unless that was done within pause.
func (r *Router) probe(s *server, pause time.Duration) {
	if !r.cfg.MayProbe || s.probing || !s.allowedByList() ||
		s.lastProbe != never && r.now-s.lastProbe < pause {
		return
	}
	s.probing, s.lastProbe = true, r.now
	r.emit(Action{Kind: Probe, Server: s.id})
}

// checkHealth marks the silent servers of a busy group down and probes the servers that are down or refused a
// connection. It probes all members while a write or fresh read waits and no primary is usable.
func (r *Router) checkHealth(g *group) {
	primary := r.primary(g)
	seekPrimary := (primary == nil || !primary.usable()) &&
		slices.ContainsFunc(g.waiting, (*request).primaryOnly)
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

// probePause returns the time between probes of a server that is down.
func probePause(s *server) Time {
	return downProbeInterval << min(max(0, s.probeFailures-probeBackoffAfter), maxProbeDoublings)
}

// startTrial puts a server that is down on trial after a pause. It is used where probes are not allowed, as
// only requests can then show whether the server is up.
func (r *Router) startTrial(s *server) {
	if r.now-s.downAt < probePause(s) {
		return
	}
	s.probeFailures++
	failures := s.probeFailures
	r.markHealthy(s)
	s.probeFailures, s.health = failures, onTrial
	s.presumeAllLost()
}

// recordLoss updates the loss rate when an attempt ends. A cancelled or timed-out attempt counts only if it
// was overtaken and presumed lost. It counts half unless it received more than maxLostRatio times its work,
// since it may only have been slow.
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
