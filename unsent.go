package beechgrade

// This file holds the decisions on attempts that have been chosen a server and are not sent yet, because they
// wait for a connection to it. What the choice was based on may change meanwhile.

import "math"

// sendDeadline returns the time until which the request may be sent to the server. A connection may take long
// to open. Meanwhile the server's data ages and part of the deduplication window passes, so a send that is
// allowed now may be forbidden later.
func (r *Router) sendDeadline(q *request, s *server) Time {
	deadline := Time(math.MaxInt64)
	if q.class.Read == ReadBounded && r.cfg.LagPolicy == LagServesStale && s != r.primary(q.group) {
		deadline = s.position + q.class.StalenessBound
	}
	if q.possiblyRan && q.class.Effect == Deduplicated {
		deadline = min(deadline, q.possiblyRanSent+q.class.DedupWindow-r.cfg.Tick)
	}
	return deadline
}

// AllowsSend reports whether an attempt may be sent at time now. The embedding proxy calls it right before it
// sends an attempt, and ends one that may not be sent as Skipped. It is not called while Handle runs.
func (r *Router) AllowsSend(now Time, id RequestID, number int) bool {
	q := r.requests[id]
	if q == nil || number < 0 || number >= len(q.attempts) {
		return false
	}
	r.now = max(now, r.now)
	return r.stillSuits(q.attempts[number])
}

// stillSuits reports whether the server of an attempt may still be sent its request, by what has become known
// since it was chosen.
func (r *Router) stillSuits(a *attempt) bool {
	q, s := a.req, a.server
	if !s.allowedByList() {
		return false
	}
	if s.coldSince != a.coldSince && r.capacityFraction(s) < 1 {
		return false // it has restarted, and slowStartAdmits has not admitted the request
	}
	if len(q.attempts) > 1 && r.repeatForbidden(q) {
		return false // another attempt may have run, which did not bind this one when it was chosen
	}
	if q.primaryOnly() {
		return s == r.primary(q.group)
	}
	fresh, _ := r.freshEnough(s, q)
	return fresh || r.cfg.LagPolicy != LagServesStale
}

// setRole records evidence from time at for a server's role. If another server of the group, or none, is its
// primary from then on, attempts at the former one that its data or role no longer suits are cancelled unless
// they have been sent.
func (r *Router) setRole(s *server, role Role, at Time) {
	former := r.primary(s.group)
	s.role, s.roleAt = role, at
	if former == nil || former == r.primary(s.group) {
		return
	}
	for _, a := range former.inFlight {
		if !r.stillSuits(a) {
			r.emit(Action{Kind: CancelUnsent, ID: a.req.id, Attempt: a.number})
		}
	}
}
