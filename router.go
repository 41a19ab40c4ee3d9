package beechgrade

// This file holds the routing decisions and the constants behind all decisions, except maxMeanRate and
// limitSteps, which are in state.go.

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// housekeepingInterval is the time between housekeeping runs while requests are open. It is a few ticks,
	// and far below any latency target.
	housekeepingInterval = 10 * time.Millisecond
	// refreshInterval is the time between corrections of the server rates. A load report loses its weight
	// over twice this time. The value is the starting value given on the design page, "The design of
	// curlewvane", which asks for corrections at a steady interval.
	refreshInterval = time.Second
	// pauseThreshold is the delay from which a late timer means that this process was paused. A connection or
	// probe that fails after at least this time may have failed on the path to the server.
	pauseThreshold = 100 * time.Millisecond
	// shareFreeze is how long the cost uses the rate for each request that was computed when the server was
	// last chosen. The design page asks for this short freeze and gives this starting value.
	shareFreeze = time.Second

	// initialWork is the work of a class without answers, as a fraction of its latency target.
	initialWork = 0.2
	// initialRate is the rate of a machine type without answers. It defines the unit of work.
	initialRate = 1.0
	// initialLimit is the concurrency limit of a machine type without answers: how many requests a server
	// processes at the full rate each. No limit falls below it.
	initialLimit = 4.0
	// minWorkGain is the least weight of one answer in the average work of its class, and of one hint in the
	// average hint: a memory of 50 answers.
	minWorkGain = 0.02
	// maxHintRatio bounds the ratio of a request's work hint to the average hint of its class.
	maxHintRatio = 10.0
	// minRemainingWork is the least work counted as left in a request in flight, as a fraction of its
	// expected work.
	minRemainingWork = 0.3

	// rateMemory is the weight of the old rate at each refresh, in answers of average work.
	rateMemory = 4.0
	// maxRate bounds rates and relative rates from above, and 1/maxRate bounds them from below.
	maxRate = 1e3
	// maxRateStep is the largest factor by which a rate changes in one refresh.
	maxRateStep = 2.0

	// overLimitMeanShare bounds the time of an average request on a server over its concurrency limit that
	// still takes one more, as a fraction of the smallest latency target.
	overLimitMeanShare = 0.25
	// overLimitIdleShare applies where this router has nothing in flight at the server: the server also takes
	// a request whose own time is at most this fraction of the time left until its latency target.
	overLimitIdleShare = 0.8
	// overLimitReadShare restricts overLimitIdleShare for reads that replicas may take if there are more than
	// fewRouters routers: an average request must take at most this fraction of the smallest latency target.
	overLimitReadShare = 0.5
	// fewRouters is the number of routers up to which each one sees most of a server's load itself.
	fewRouters = 8
	// loadInferenceRatio is the ratio of an answer's time to the time of its work alone above which the
	// answer shows load from other routers.
	loadInferenceRatio = 1.5
	// maxOthersRatio bounds the estimated load of each other router where it counts as evidence, as a
	// fraction of this router's own requests in flight at the server.
	maxOthersRatio = 0.5

	// minTenantBurst is the least depth of a tenant's token bucket, in requests.
	minTenantBurst = 4.0
	// requestRateMemory is the time constant of this router's measured request rate.
	requestRateMemory = 5 * time.Second
	// trafficShareMemory, times the number of a group's members, is the memory of their traffic shares, in
	// sends.
	trafficShareMemory = 4.0
	// maxProbesPerRequest is how many servers are probed for one request before each of its attempts. The two
	// cheapest servers give most of the information.
	maxProbesPerRequest = 2
	// probeWaitTicks is how long a request waits for the probes sent for it, in ticks.
	probeWaitTicks = 4

	// silentGaps is how many mean gaps between answers must pass without one before a server is silent.
	silentGaps = 8.0
	// silentServiceTimes is how many service times of a request are added to those gaps.
	silentServiceTimes = 3.0
	// trialRequests is how many requests may be in flight at a server on trial. A single request could be
	// lost by chance, which would prove nothing.
	trialRequests = 3

	// maxLostRatio is the service, as a multiple of its expected work, after which an overtaken attempt is
	// presumed lost.
	maxLostRatio = 6.0
	// minLostRatio is the least value to which that multiple falls where many attempts are lost.
	minLostRatio = 3.0
	// lostOvertakenBy is how many later attempts must be answered before an attempt is presumed lost.
	lostOvertakenBy = 3
	// lossRateMemory is the memory of the loss rate, in attempts.
	lossRateMemory = 300

	// longReadRatio is the multiple of the average work from which a read of kind ReadAny is long. A long
	// read delays the replay of the log on the server that runs it.
	longReadRatio = 2.0
	// fillOrderCost is how much the cost of a long read increases from the first member of its group to the
	// last, as a multiple of the cost itself.
	fillOrderCost = 4.0
	// retryValueFactor is the part of its value that a client's retry has. The latency target counts from
	// the client's first request and has mostly passed by then.
	retryValueFactor = 0.2

	// downProbeInterval is the time between probes of a server that is down.
	downProbeInterval = 200 * time.Millisecond
	// probeBackoffAfter is how many probes in a row may fail before that interval grows.
	probeBackoffAfter = 4
	// maxProbeDoublings is how many times the interval doubles while probes keep failing.
	maxProbeDoublings = 4
	// failureMemory is the time over which a server's failure chance falls to zero without new answers.
	failureMemory = 4 * time.Second
	// zoneLatencyMemory is the time over which a measured zone latency falls to zero.
	zoneLatencyMemory = 10 * time.Second
	// restartOutage is how long a server must refuse connections to be treated as restarted.
	restartOutage = time.Second
	// coldBudgetShare is the part of the overload budget of a cold server that is used, since the estimates
	// behind it are rough.
	coldBudgetShare = 0.5

	// subscribeSpacing is the time that the discovery service has for the subscribe call of each router, so
	// that the calls of all routers spread over a few seconds.
	subscribeSpacing = 20 * time.Millisecond
	// maxSubscribeDelay bounds the delay of a subscribe call, however many routers there are. The changes
	// that a silent watch missed then arrive within 6 s.
	maxSubscribeDelay = 5 * time.Second / 2
	// minSubscribePause is the pause before subscribing again after a subscription that lasted. Jitter of up
	// to the same time is added.
	minSubscribePause = 100 * time.Millisecond
	// maxSubscribePause bounds the pause, which doubles with each subscription that ends within this time.
	maxSubscribePause = time.Second

	// maxSessions is how many sessions' commits are remembered before all of them are dropped at once.
	maxSessions = 20000
	// removedRetention is how long a removed server is remembered.
	removedRetention = 30 * time.Second

	// limitMemory is the memory of the latency at each load step, in answers.
	limitMemory = 300.0
	// minLimitSamples is how many answers a load step needs before it counts.
	minLimitSamples = 60.0
	// limitSlowdown is the ratio to the latency at the lowest load above which a step had too many requests.
	limitSlowdown = 1.3
	// limitGrowth is the multiple of the highest observed load that is tried as the limit where even that
	// load did not slow answers down.
	limitGrowth = 1.5
	// maxLimitStep is the largest factor by which a concurrency limit changes in one refresh.
	maxLimitStep = 1.1
	// meanLatencyMemory is the memory of a class's mean latency, in answers.
	meanLatencyMemory = 1e4

	// deadlineMarginTicks is how many ticks before its deadline a request gets its final answer, in addition
	// to the time until the next housekeeping run.
	deadlineMarginTicks = 2
)

// New returns a router. The seed is its only source of randomness.
func New(cfg Settings, seed uint64) *Router {
	r := &Router{cfg: cfg, rng: rand.New(rand.NewPCG(seed, 0)), servers: map[ServerID]*server{},
		groups: map[int]*group{}, requests: map[RequestID]*request{}, forgottenCommit: never,
		machineRates: map[int]float64{}, concurrencyLimits: map[int]*concurrencyLimit{},
		zoneLatencies: map[int]zoneLatency{}, timerAt: never}
	r.cfg.RouterCount = max(1, cfg.RouterCount)
	r.cfg.MaxAttempts = max(1, cfg.MaxAttempts)
	for _, c := range cfg.Classes {
		r.classes = append(r.classes,
			class{Class: c, meanWork: max(1e-3, initialWork*c.LatencyTarget.Seconds())})
		r.meanWork += r.classes[len(r.classes)-1].meanWork / float64(len(cfg.Classes))
		if c.LatencyTarget > 0 && (r.minLatencyTarget == 0 || c.LatencyTarget < r.minLatencyTarget) {
			r.minLatencyTarget = c.LatencyTarget
		}
	}
	r.primarySearchInterval = max(r.minLatencyTarget/2, housekeepingInterval)
	r.tenants = make([]tenant, len(cfg.Tenants))
	return r
}

// Handle processes one event at time now and appends the resulting actions to out.
func (r *Router) Handle(now Time, e Event, out []Action) []Action {
	r.now, r.actions = max(now, r.now), out
	if r.nextRefresh == 0 {
		r.rateUpdatedAt, r.nextRefresh, r.nextSubscribe = r.now, r.now+refreshInterval, math.MaxInt64
		if r.cfg.SubscribeList {
			r.scheduleSubscribe(0)
		}
	}
	if r.timerAt != never && r.now-r.timerAt > pauseThreshold {
		// A pause of this process must not count against the servers. A server that died during the pause
		// is detected a little later.
		r.timerAt = r.now
		r.markAllUntimed()
	}
	switch e := e.(type) {
	case *Request:
		r.onRequest(e)
	case *Outcome:
		r.onOutcome(e)
	case *Abandoned:
		if q := r.requests[e.ID]; q != nil {
			r.forgetRequest(q)
		}
	case *ProbeResult:
		r.onProbeResult(e)
	case *List:
		r.onList(e)
	case *Timer:
		r.timerAt = never
		r.onTimer()
	}
	if r.now >= r.nextSubscribe {
		r.nextSubscribe, r.lastSubscribe = math.MaxInt64, r.now
		r.emit(Action{Kind: Subscribe})
	}
	// The timer runs only while something is in flight, waiting or scheduled, so that hundreds of idle
	// routers cost nothing.
	if r.timerAt == never && (len(r.requests) > 0 || r.inFlight > 0 || r.nextSubscribe < math.MaxInt64) {
		r.timerAt = r.now + housekeepingInterval
		r.emit(Action{Kind: SetTimer, At: r.timerAt})
	}
	return r.actions
}

func (r *Router) emit(a Action) { r.actions = append(r.actions, a) }

// capacityFraction returns the part of its capacity that a server has now: less than 1 while it is cold.
func (r *Router) capacityFraction(s *server) float64 {
	age := r.now - s.coldSince
	if r.cfg.ColdDuration <= 0 || age >= r.cfg.ColdDuration {
		return 1
	}
	return r.cfg.ColdCapacity + (1-r.cfg.ColdCapacity)*max(0, age.Seconds())/r.cfg.ColdDuration.Seconds()
}

// warmRate returns a server's rate when it is warm: the rate of its machine type, learned from all answers,
// times its relative rate. A single server's answers are too few to learn from alone.
func (r *Router) warmRate(s *server) float64 {
	return r.machineRates[s.entry.MachineType] * s.relativeRate
}

func (r *Router) meanServiceTime(s *server) Time { return seconds(r.meanWork / r.currentRate(s)) }

func seconds(x float64) Time { return Time(x * float64(time.Second)) }

// currentRate returns the rate that a single request would get now. If a cold server counted with its warm
// rate, it would always be chosen.
func (r *Router) currentRate(s *server) float64 { return r.warmRate(s) * r.capacityFraction(s) }

// freshness returns the weight of information from time at, which falls from 1 to 0 over memory.
func (r *Router) freshness(at Time, memory time.Duration) float64 {
	return max(0, 1-(r.now-at).Seconds()/memory.Seconds())
}

// load returns the number of requests in flight at a server: this router's, without those presumed lost, and
// the other routers'. An estimate gradually replaces the last report of the others' requests, since many
// routers that each see an idle server would overload it together. An estimate may influence the choice of a
// server, but must not hold requests back. The likely load therefore includes all of it, while the evident
// load, which decides whether a server can take more, limits the estimate for each other router to a fixed
// part of this router's own requests there.
func (r *Router) load(s *server) (likely, evident float64) {
	own := float64(len(s.inFlight) - s.presumedLost)
	fresh := r.freshness(s.loadReportedAt, 2*refreshInterval)
	estimate := (1 - fresh) * r.estimateOthersLoad(s)
	own += s.othersInFlight * fresh
	return own + estimate, own + min(estimate,
		maxOthersRatio*float64((len(s.inFlight)-s.presumedLost)*(r.cfg.RouterCount-1)))
}

// advanceService brings a server's virtual service up to now. It has to be called before the load changes.
func (r *Router) advanceService(s *server) {
	if elapsed := (r.now - s.serviceUpdatedAt).Seconds(); elapsed > 0 {
		n, _ := r.load(s)
		s.service += elapsed * r.rateShare(s, n) * r.capacityFraction(s)
	}
	s.serviceUpdatedAt = r.now
}

// estimateOthersLoad returns an estimate of the other routers' requests in flight at a server: each has as
// many as this one has on average. A send raises the server's traffic share and with it the estimate, so a
// router that seldom has a request in flight chooses the members in a round robin weighted by their rates.
func (r *Router) estimateOthersLoad(s *server) float64 {
	n := float64(r.cfg.RouterCount-1) * r.perGroup(r.requestRate) * s.trafficShare * r.meanWork /
		r.currentRate(s)
	utilization := min(0.95, n/r.concurrencyLimit(s))
	return n / (1 - utilization*utilization) // includes queueing, which grows with utilization
}

// cost returns the cost of sending a read to a server, in seconds. It is based on equation 2 of Rizvi et al.,
// "Mayflower: Improving Distributed Filesystem Performance Through SDN/Filesystem Co-Design":
//
//	cost = d/b + sum over the requests i in flight of (r_i/b'_i - r_i/b_i)
//
// The first term is the read's own time: its work d divided by its max-min fair share b of the server's rate.
// The sum is the slowdown of this router's requests there: r_i is the remaining work of request i, b_i its
// present share and b'_i its share after the send. Here each slowdown is weighted by the value of request i
// relative to the read's, so reads avoid a primary that is full of writes. shareAfter is the rate that each
// request would have after the send.
func (r *Router) cost(s *server, q *request) (cost, shareAfter float64) {
	r.advanceService(s)
	rate := r.currentRate(s)
	n, _ := r.load(s)
	shareNow, shareAfter := rate*r.rateShare(s, n), rate*r.rateShare(s, n+1)
	if r.now < s.frozenUntil {
		shareNow = min(rate, s.frozenShare)
		shareAfter = min(shareAfter, shareNow)
	}
	cost = q.expectedWork() / shareAfter
	for _, a := range s.inFlight {
		work := a.req.expectedWork()
		remaining := max(work-(s.service-a.serviceAtSend)*rate, minRemainingWork*work)
		cost += (remaining/shareAfter - remaining/shareNow) * a.req.value / q.value
	}
	// Failed answers come quickly and leave their server idle, so without this factor a failing server would
	// always be chosen.
	cost /= 1 - r.failureChance(s)
	if s.entry.Zone != r.cfg.Zone {
		// The cost is a time, so the request's value is expressed as its latency target.
		cost += r.cfg.CrossZoneCost * q.class.LatencyTarget.Seconds()
	}
	cost += r.zoneLatency(s)
	return cost, shareAfter
}

// zoneLatency returns the recent latency of probes and failed connections into the server's zone, in seconds.
// Servers behind a slow path must not count as slow or down: they work well in their own zone, and a primary
// there still takes writes.
func (r *Router) zoneLatency(s *server) float64 {
	return r.zoneLatencies[s.entry.Zone].latency *
		r.freshness(r.zoneLatencies[s.entry.Zone].measuredAt, zoneLatencyMemory)
}

// hasCapacity reports whether a server can take one more request without making the requests there too slow
// for the smallest latency target or, if none of them is this router's, without making this one too slow. A
// request that no server has capacity for waits in the router for the first server that does.
func (r *Router) hasCapacity(s *server, q *request) bool {
	if r.now < s.overloadedUntil || s.health == onTrial && len(s.inFlight)-s.presumedLost >= trialRequests {
		return false
	}
	_, n := r.load(s)
	n, fraction := n+1, r.capacityFraction(s)
	if fraction < 1 && !r.slowStartAdmits(s, q) {
		return false
	}
	if n <= r.concurrencyLimit(s)*fraction {
		return true
	}
	rate := r.currentRate(s) * r.rateShare(s, n)
	return len(s.inFlight) == 0 &&
		q.expectedWork()/rate <= overLimitIdleShare*(q.targetTime-r.now).Seconds() &&
		(q.primaryOnly() || fewRouters >= r.cfg.RouterCount ||
			r.meanWork/rate <= overLimitReadShare*r.minLatencyTarget.Seconds()) ||
		r.meanWork/rate <= overLimitMeanShare*r.minLatencyTarget.Seconds()
}

// perGroup returns the average group's part of one of this router's rates.
func (r *Router) perGroup(rate float64) float64 { return rate / float64(max(1, len(r.sortedGroups))) }

// primaryHasSpare reports whether a primary has more capacity than the writes and fresh reads of all routers
// need, judged by this router's own. Other reads can go to replicas, but these cannot. In a small tier each
// router sees enough of them for the cost to keep other reads away.
func (r *Router) primaryHasSpare(s *server) bool {
	if fewRouters >= r.cfg.RouterCount {
		return true
	}
	_, n := r.load(s)
	return n+1+float64(r.cfg.RouterCount)*r.perGroup(r.primaryWorkRate)/r.currentRate(s) <=
		r.concurrencyLimit(s)*r.capacityFraction(s)
}

// expectedWork returns the average work of the request's class, scaled by the request's work hint if any.
func (q *request) expectedWork() float64 { return q.class.meanWork * q.relativeWork }

// slowStartAdmits reports whether a cold server may be sent the request without a risk of overload. This
// router has a part of the overload budget of all routers, as a leaky bucket that holds half of what may be
// sent in OverloadTime. If the bucket is smaller than the request, the admission draw decides, so that all
// routers together send as much as the budget allows of what they receive: separate buckets would leave
// credit with routers that receive nothing, and writes would wait for an idle cold primary. Each member
// admits a different range of draws, as after a deployment all members are cold at once.
func (r *Router) slowStartAdmits(s *server, q *request) bool {
	if r.cfg.OverloadMultiple <= 0 || r.cfg.OverloadTime <= 0 {
		return true
	}
	budget := coldBudgetShare * r.cfg.OverloadMultiple * r.currentRate(s) * initialLimit /
		float64(r.cfg.RouterCount)
	depth := budget/2*r.cfg.OverloadTime.Seconds() - q.expectedWork()
	if depth < 0 {
		offset := math.Phi * float64(slices.Index(q.group.members, s))
		demand, primaryDemand := r.perGroup(r.requestRate)*r.meanWork, r.perGroup(r.primaryWorkRate)
		if s == r.primary(q.group) && q.primaryOnly() {
			demand = primaryDemand
		} else if s == r.primary(q.group) {
			budget -= primaryDemand // other reads can go to replicas
		}
		return math.Mod(q.admissionDraw+offset, 1)*demand < budget
	}
	s.coldWork = max(0, s.coldWork-budget/2*(r.now-s.coldWorkAt).Seconds())
	s.coldWorkAt = r.now
	return s.coldWork <= depth
}

// freshEnough reports whether a server's data is known to be new enough for the request, and whether it may
// be. It may be if the server's position is unknown, if more time has passed since its last report than the
// position lagged behind then (and at least primarySearchInterval), or if the position must be high enough by
// now at the rate at which it advances.
func (r *Router) freshEnough(s *server, q *request) (known, likely bool) {
	minPosition := q.minPosition
	if q.class.Read == ReadBounded {
		minPosition = r.now - q.class.StalenessBound
	}
	if minPosition == never || s == r.primary(q.group) || s.position >= minPosition {
		return true, true
	}
	return false, s.position == never ||
		r.now-s.positionReportedAt > max(r.primarySearchInterval, s.positionReportedAt-s.position) ||
		s.position+time.Duration(float64(r.now-s.positionAt)*s.applyRate) >= minPosition
}

// primary returns the group's primary by the latest evidence, or nil if none is known.
func (r *Router) primary(g *group) *server {
	var best *server
	for _, s := range g.members {
		if s.role == RolePrimary && (best == nil || s.roleAt > best.roleAt) {
			best = s
		}
	}
	return best
}

func (q *request) primaryOnly() bool { return q.class.Read == Write || q.class.Read == ReadFresh }

func (s *server) usable() bool { return s.allowedByList() && s.health != down }

// allowedByList reports whether the server list allows requests to the server. With soft removal, a server
// that is missing from the list may be used unless it was draining.
func (s *server) allowedByList() bool { return !s.draining && (s.removedAt == 0 || s.softRemoval) }

// chooseServer returns the server for a request, or nil if the request has to wait.
func (r *Router) chooseServer(q *request) *server {
	primary := r.primary(q.group)
	if q.primaryOnly() {
		if primary != nil && primary.usable() && r.hasCapacity(primary, q) && !r.awaitsProbe(q, primary) {
			return primary
		}
		return nil
	}
	var best, secondBest, bestKnown *server
	leastCost, secondCost, knownCost := math.Inf(1), math.Inf(1), math.Inf(1)
	for _, s := range q.group.members {
		if !s.usable() || len(q.attempts) < len(q.group.members) && q.wasSentTo(s) || !r.hasCapacity(s, q) ||
			s == primary && !r.primaryHasSpare(s) {
			continue
		}
		fresh, maybeFresh := r.freshEnough(s, q)
		if !fresh && !maybeFresh {
			continue
		}
		cost, _ := r.cost(s, q)
		if q.class.Read == ReadAny && q.class.meanWork > longReadRatio*r.meanWork {
			cost *= 1 + fillOrderCost*r.fillOrder(s)
		}
		if !fresh {
			// A wrong guess costs a round trip, or a probe before the send if replicas serve stale data.
			cost += (2 * r.cfg.Tick).Seconds() + r.probeCost(q)
		}
		if (fresh || r.cfg.LagPolicy != LagServesStale) && cost < knownCost {
			bestKnown, knownCost = s, cost
		}
		if cost < leastCost {
			secondBest, secondCost, best, leastCost = best, leastCost, s, cost
		} else if cost < secondCost {
			secondBest, secondCost = s, cost
		}
	}
	wait := best != nil && r.awaitsProbe(q, best)
	if secondBest != nil && secondCost <= 2*leastCost { // the second may turn out cheaper
		wait = r.awaitsProbe(q, secondBest) || wait
	}
	if wait {
		return nil
	}
	return bestKnown
}

// fillOrder returns a server's place among its group's members, from 0 to 1, the primary last. The order is
// the same in all routers. Long reads that accept any data delay the replay of the log where they run, so
// they fill one member after another, and the other members keep up.
func (r *Router) fillOrder(s *server) float64 {
	before := 0
	for _, o := range s.group.members {
		if s == r.primary(s.group) || o.usable() && o.id < s.id {
			before++
		}
	}
	return float64(before) / float64(len(s.group.members))
}

func (r *Router) probeCost(q *request) float64 {
	return r.cfg.ProbeCost * q.class.LatencyTarget.Seconds()
}

// awaitsProbe probes a server for a request if needed, and reports whether the request has to wait for the
// result: because the server's position must be known, or because its load was not reported recently and the
// expected queueing behind the requests there costs more than a probe.
func (r *Router) awaitsProbe(q *request, s *server) bool {
	fresh, _ := r.freshEnough(s, q)
	n, _ := r.load(s)
	queueing := q.expectedWork() / r.currentRate(s) * (1/r.rateShare(s, n) - 1)
	if (fresh || r.cfg.LagPolicy != LagServesStale) &&
		(!r.loadReported || r.now-s.loadReportedAt <= r.minLatencyTarget/4 ||
			queueing <= r.probeCost(q)) || !r.cfg.MayProbe {
		return false
	}
	if !s.probing {
		if q.probeCount >= maxProbesPerRequest {
			return false
		}
		q.probeCount++
		q.awaitProbesUntil = r.now + probeWaitTicks*r.cfg.Tick
		r.probe(s, 0)
	}
	return r.now < q.awaitProbesUntil
}

// attemptsExhausted reports whether a request must not be sent again.
func (r *Router) attemptsExhausted(q *request) bool {
	return len(q.attempts) >= r.cfg.MaxAttempts || q.inFlight > 0 && !r.cfg.MayDuplicate ||
		r.repeatForbidden(q)
}

// repeatForbidden reports whether a request may have run and must not run again: an unsafe request never, and
// a deduplicated one only within its window.
func (r *Router) repeatForbidden(q *request) bool {
	return q.possiblyRan && (q.class.Effect == Unsafe ||
		q.class.Effect == Deduplicated && r.now+r.cfg.Tick >= q.possiblyRanSent+q.class.DedupWindow)
}

func (q *request) notePossiblyRan(a *attempt, s *server) {
	if !q.possiblyRan || a.sentAt < q.possiblyRanSent {
		q.possiblyRan, q.possiblyRanSent, q.possiblyRanZone = true, a.sentAt, s.entry.Zone
	}
}

// trySend sends a request if a server can take it now.
func (r *Router) trySend(q *request) bool {
	if r.attemptsExhausted(q) {
		return false
	}
	s := r.chooseServer(q)
	if s == nil ||
		q.possiblyRan && q.class.Effect == Deduplicated && q.class.Scope == ScopeZone &&
			s.entry.Zone != q.possiblyRanZone {
		return false // only the zone of the first attempt that may have run drops repeats
	}
	_, shareAfter := r.cost(s, q)
	a := &attempt{req: q, server: s, number: len(q.attempts), sentAt: r.now, serviceAtSend: s.service,
		coldSince: s.coldSince}
	a.ownInFlight = len(s.inFlight) - s.presumedLost + 1
	r.addAttempt(s, a)
	s.frozenShare, s.frozenUntil = shareAfter, r.now+shareFreeze
	s.coldWork += q.expectedWork()
	for _, o := range s.group.members {
		o.trafficShare -= o.trafficShare / (trafficShareMemory * float64(len(s.group.members)))
	}
	s.trafficShare += 1 / (trafficShareMemory * float64(len(s.group.members)))
	r.emit(Action{Kind: Send, ID: q.id, Server: s.id, SendDeadline: r.sendDeadline(q, s)})
	return true
}

func (r *Router) onRequest(e *Request) {
	if r.requests[e.ID] != nil {
		return
	}
	if e.Class < 0 || e.Class >= len(r.classes) || e.Deadline <= r.now {
		r.emit(Action{Kind: Refuse, ID: e.ID, Text: "unknown class or deadline passed"})
		return
	}
	c := &r.classes[e.Class]
	if r.groups[e.Group] == nil && len(r.servers) > 0 { // no group is added for it
		r.emit(Action{Kind: Refuse, ID: e.ID, Wait: min(r.cfg.MaxRetryAfter, c.LatencyTarget),
			Text: "no such group"})
		return
	}
	q := &request{id: e.ID, class: c, group: r.groupFor(e.Group), arrived: r.now, deadline: e.Deadline,
		targetTime: min(e.Deadline, r.now+c.LatencyTarget), minPosition: never,
		session: hashOfSession(e.Session), value: max(c.Value, 1e-6), relativeWork: 1}
	if q.usefulUntil = q.targetTime; c.LateFactor > 0 {
		q.usefulUntil = q.deadline
	}
	if c.Read == ReadSession {
		if r.cfg.TrackCommits {
			t, ok := r.sessionCommits[q.session]
			if q.minPosition = t; !ok {
				q.minPosition = r.forgottenCommit
			}
		} else if e.SinceCommit > 0 {
			q.minPosition = r.now - e.SinceCommit
		}
	}
	if e.Tenant >= 0 && e.Tenant < len(r.tenants) && r.cfg.Tenants[e.Tenant].Allowance > 0 {
		// A token bucket with this router's part of the tenant's allowance. It holds one second's tokens, but
		// at least minTenantBurst, to allow for bursts.
		t, rate := &r.tenants[e.Tenant], r.cfg.Tenants[e.Tenant].Allowance/float64(r.cfg.RouterCount)
		t.tokens = min(max(rate, minTenantBurst), t.tokens+rate*(r.now-t.refilledAt).Seconds())
		t.refilledAt = r.now
		if t.tokens >= 1 {
			t.tokens--
		} else {
			q.value = max(q.value*r.cfg.OverShareFactor, 1e-6)
		}
	}
	if e.Retry {
		q.value *= retryValueFactor
	}
	if hint := e.Work.Seconds(); hint > 0 { // the hint counts relative to the class's average hint
		c.meanHint += max(minWorkGain, 1/(c.hintCount+1)) * (hint - c.meanHint)
		c.hintCount++
		q.relativeWork = min(maxHintRatio, hint/c.meanHint)
	}
	q.admissionDraw = r.rng.Float64()
	primaryWork := 0.0
	if q.primaryOnly() {
		primaryWork = q.expectedWork()
	}
	r.updateRequestRates(1, primaryWork)
	r.requests[q.id] = q
	r.checkHealth(q.group)
	if len(q.group.waiting) > 0 || !r.trySend(q) {
		q.group.waiting = append(q.group.waiting, q)
		r.dispatch(q.group)
	}
}

// deadlineNear reports whether a request needs its final answer before the next housekeeping run. A request
// that has not reached a server needs it after half its time, so that its client can try again.
func (r *Router) deadlineNear(q *request) bool {
	end := q.deadline
	if !q.reachedServer && q.inFlight == 0 {
		end = q.arrived + (q.deadline-q.arrived)/2
	}
	return r.now+housekeepingInterval+deadlineMarginTicks*r.cfg.Tick >= end
}

// priority returns a waiting request's priority: its value for each unit of work, reduced by the class's late
// factor after the latency target.
func (r *Router) priority(q *request) float64 {
	if r.now > q.targetTime {
		return q.value * q.class.LateFactor / q.expectedWork()
	}
	return q.value / q.expectedWork()
}

// dispatch sends the waiting requests of a group that can be sent, highest priority first, and finishes those
// that cannot be answered in time.
func (r *Router) dispatch(g *group) {
	slices.SortStableFunc(g.waiting, func(a, b *request) int {
		// The newest are sent first: under overload, the oldest would each be answered just too late.
		return cmp.Or(cmp.Compare(r.priority(b), r.priority(a)), cmp.Compare(b.arrived, a.arrived))
	})
	stillWaiting, queue := g.waiting[:0:0], g.waiting
	g.waiting = nil
	for _, q := range queue {
		if q.finished {
			continue
		}
		if r.deadlineNear(q) || r.attemptsExhausted(q) || r.now+r.fastestAnswer(q) > q.usefulUntil {
			if q.inFlight == 0 {
				r.finish(q, "no attempts or no time left")
			}
			continue
		}
		if !r.trySend(q) {
			stillWaiting = append(stillWaiting, q)
		}
	}
	g.waiting = append(stillWaiting, g.waiting...)
}

// fastestAnswer returns the shortest expected time to an answer among the group's servers at their present
// load.
func (r *Router) fastestAnswer(q *request) Time {
	if c := q.class; c.fastestAnswerAt != r.now || c.fastestAnswerGroup != q.group {
		best := never
		for _, s := range q.group.members {
			_, n := r.load(s)
			t := seconds(c.meanWork / (r.currentRate(s) * r.rateShare(s, n)))
			if s.usable() && (best == never || t < best) {
				best = t
			}
		}
		c.fastestAnswer, c.fastestAnswerAt, c.fastestAnswerGroup = max(0, best), r.now, q.group
	}
	return seconds(q.class.fastestAnswer.Seconds() * q.relativeWork)
}

// finish gives the final answer: Refuse if a retry is harmless, else Fail.
func (r *Router) finish(q *request, reason string) {
	mayHaveRun := q.possiblyRan || q.inFlight > 0
	if q.class.Effect == Safe || !mayHaveRun || q.class.Effect == Deduplicated && q.class.Scope == ScopeAll {
		r.emit(Action{Kind: Refuse, ID: q.id, Wait: min(r.cfg.MaxRetryAfter, q.class.LatencyTarget),
			Text: reason})
	} else {
		r.emit(Action{Kind: Fail, ID: q.id, Text: reason})
	}
	r.forgetRequest(q)
}

// forgetRequest removes a request. Its attempts in flight are cancelled, so that servers need not run those
// that are still queued there.
func (r *Router) forgetRequest(q *request) {
	q.finished = true
	delete(r.requests, q.id)
	if r.cfg.MayCancel {
		for _, a := range q.attempts {
			if !a.ended {
				r.emit(Action{Kind: Cancel, ID: q.id, Attempt: a.number})
			}
		}
	}
}

func (r *Router) onOutcome(e *Outcome) {
	s := r.servers[e.Server]
	if s == nil {
		return
	}
	r.advanceService(s)
	a, older := r.removeAttempt(s, e.ID, e.Attempt)
	if a == nil {
		return
	}
	q := a.req
	r.recordLoss(s, a, e.Result)
	q.reachedServer = q.reachedServer || e.Result != Unreachable && e.Result != Skipped
	r.applyReport(s, e.Report, r.now)
	r.applyReport(s, e.LoadReport, e.LoadReport.Position)
	switch e.Result {
	case OK:
		c := q.class
		if !a.untimed {
			service, elapsed := s.service-a.serviceAtSend, (r.now - a.sentAt).Seconds()
			pathTime := min(r.zoneLatency(s), elapsed/2)
			r.recordLatency(s, a, seconds(elapsed-pathTime))
			service, elapsed = service*(1-pathTime/max(elapsed, 1e-9)), elapsed-pathTime
			if r.inferLoad(s,
				r.concurrencyLimit(s)*(elapsed*r.currentRate(s)/q.expectedWork()-loadInferenceRatio)) {
				n, _ := r.load(s)
				service = min(service, elapsed*r.rateShare(s, n)*r.capacityFraction(s))
			}
			s.answeredWork += q.expectedWork()
			s.answeredService += service
			c.answerCount++
			c.meanWork += max(minWorkGain, 1/(c.answerCount+8)) *
				(service*r.warmRate(s)*c.meanWork/q.expectedWork() - c.meanWork)
			c.meanWork = max(c.meanWork, 1e-3)
			r.meanWork += max(minWorkGain, 1/(r.answerCount+8)) * (c.meanWork - r.meanWork)
			r.answerCount++
		}
		s.lastFailureChance, s.failureChanceAt = r.failureChance(s)/2, r.now
		for _, o := range s.inFlight[:older] {
			o.overtakenBy++
		}
		r.recordAnswer(s, a)
		if q.class.Read == Write && r.cfg.TrackCommits {
			r.rememberCommit(q.session, e.Report)
		}
	case Misdirected:
		r.recordAnswer(s, a)
		if q.primaryOnly() && e.Report.Role != RolePrimary {
			r.setRole(s, RoleReplica, r.now)
		} else {
			s.applyRate /= 2 // it lags further behind than estimated
		}
	case Overloaded, Unreachable, Failed, Reset:
		// None of these proves that the server is down. It costs more for a while. After a rejection for load
		// or a failed answer soon after another failure, it gets no requests for one mean service time.
		if e.Result == Unreachable && !r.recordZoneLatency(s, r.now-a.sentAt) &&
			r.now-a.sentAt < pauseThreshold {
			r.recordRefusal(s)
		} else if e.Result == Unreachable { // not refused at once: a probe shows whether it is up
			r.probe(s, downProbeInterval)
		}
		if e.Result == Overloaded {
			r.recordAnswer(s, a)
			r.inferLoad(s,
				2*r.concurrencyLimit(s)*q.class.LatencyTarget.Seconds()*r.currentRate(s)/q.expectedWork())
		}
		s.lastFailureChance, s.failureChanceAt = (r.failureChance(s)+1)/2, r.now
		if e.Result == Overloaded || e.Result == Failed && s.lastFailureChance > 0.5 {
			s.overloadedUntil = r.now + r.meanServiceTime(s)
		}
	}
	q.probeCount = 0
	if e.Result == Failed || e.Result == TimedOut || e.Result == Reset || e.Result == Cancelled {
		q.notePossiblyRan(a, s)
	}
	if e.Final {
		r.forgetRequest(q)
	}
	if e.Result != OK && !q.finished && q.inFlight == 0 {
		if r.deadlineNear(q) || r.attemptsExhausted(q) {
			r.finish(q, "no attempts or no time left after "+e.Result.String())
		} else if !slices.Contains(q.group.waiting, q) {
			q.group.waiting = append(q.group.waiting, q)
		}
	}
	r.dispatch(s.group)
}

func (r *Router) onList(e *List) {
	if e.Kind == ListFailed {
		if r.subscribeFailures++; r.now-r.lastSubscribe >= maxSubscribePause { // the subscription had lasted
			r.subscribeFailures = 0
		}
		pause := min(maxSubscribePause, minSubscribePause<<min(r.subscribeFailures, 9))
		r.scheduleSubscribe(pause)
		return
	}
	present := map[ServerID]bool{}
	for _, entry := range e.Entries {
		present[entry.Server] = true
		s := r.servers[entry.Server]
		if s == nil {
			if entry.State == Removed {
				continue
			}
			s = r.addServer(entry.Server, r.groupFor(entry.Group))
			// Each router begins its round robin at a random member.
			s.softRemoval, s.trafficShare = r.cfg.SoftRemoval, r.rng.Float64()
			if r.listReceived {
				s.trafficShare = 0
				if r.cfg.MayProbe {
					s.health = down // it may not exist, so it is probed before any request
				}
				if e.Kind == ListChanges {
					// A new machine starts cold, whatever its entry says.
					s.coldSince = max(s.coldSince, r.now)
				}
			}
		}
		if entry.StartedAt > 0 && entry.StartedAt > s.entry.StartedAt {
			s.coldSince = max(s.coldSince, entry.StartedAt)
		}
		if r.cfg.ListShowsRole && entry.Primary && s.role == RoleUnknown {
			r.setRole(s, RolePrimary, never+1)
		}
		if entry.State == Removed { // a server that was draining stays so
			s.removedAt = max(r.now, 1)
			continue
		}
		s.entry, s.removedAt, s.draining = entry, 0, entry.State == Draining
		if r.machineRates[entry.MachineType] == 0 {
			r.machineRates[entry.MachineType] = initialRate
		}
	}
	for _, s := range r.sortedServers {
		if e.Kind != ListChanges && !present[s.id] && s.removedAt == 0 {
			s.removedAt = max(r.now, 1)
		}
	}
	r.listReceived = true
	for _, g := range r.sortedGroups {
		r.dispatch(g)
	}
}

// scheduleSubscribe schedules a subscribe call after a pause and jitter. The routers spread their calls, as
// the discovery service answers one after the other. A list that is pushed comes from an agent that serves
// only this router, and must be obeyed as soon as the agent has it, so the delay is short then.
func (r *Router) scheduleSubscribe(pause time.Duration) {
	limit, spread := maxSubscribeDelay, pause+subscribeSpacing*time.Duration(r.cfg.RouterCount-1)
	if !r.cfg.SubscribeList {
		pause, limit, spread = min(pause, 2*minSubscribePause), 4*minSubscribePause, pause
	}
	r.nextSubscribe = r.now + pause + time.Duration(r.rng.Float64()*float64(min(spread, limit-pause)))
}

func (r *Router) onTimer() {
	if r.now >= r.nextRefresh {
		r.refreshRates()
	}
	for _, g := range r.sortedGroups {
		if len(g.waiting) == 0 && !slices.ContainsFunc(g.members, (*server).hasInFlight) {
			continue
		}
		r.checkHealth(g)
		r.retryStuck(g)
		r.dispatch(g)
	}
	if len(r.servers) == 0 {
		r.removeEmptyGroups()
	}
}

// retryStuck retries requests whose attempt is at a server that is down, or is presumed lost. An attempt is
// presumed lost if it received several times its expected work while later attempts were answered. If
// duplicates are allowed, retryStuck sends one, and otherwise it cancels the attempt. Unsafe requests are not
// retried. It also finishes requests near their deadline.
func (r *Router) retryStuck(g *group) {
	for _, s := range g.members {
		for _, a := range slices.Clone(s.inFlight) {
			q := a.req
			if !q.finished && r.deadlineNear(q) {
				r.finish(q, "deadline is near")
			}
			if !a.presumedLost && a.overtakenBy >= lostOvertakenBy &&
				r.serviceRatio(s, a) > r.lostThreshold(g) {
				a.presumedLost = true
				s.presumedLost++
			}
			if s.health != down && !a.presumedLost || a.retried || q.finished || q.class.Effect == Unsafe ||
				q.inFlight != 1 || r.now+r.fastestAnswer(q) > q.usefulUntil {
				continue
			}
			q.notePossiblyRan(a, s)
			if r.cfg.MayDuplicate {
				a.retried = r.trySend(q)
			} else if r.cfg.MayCancel && r.chooseServer(q) != nil {
				a.retried = true
				r.emit(Action{Kind: Cancel, ID: q.id, Attempt: a.number})
			}
		}
	}
}

// serviceRatio returns the service that an attempt has received, as a multiple of its expected work.
func (r *Router) serviceRatio(s *server, a *attempt) float64 {
	return (s.service - a.serviceAtSend) * r.warmRate(s) / a.req.expectedWork()
}

// lostThreshold returns the service ratio from which an overtaken attempt is presumed lost. About exp(-x) of
// all attempts take more than x times their expected work. Where that is less than the loss rate, the attempt
// is more likely lost than slow.
func (r *Router) lostThreshold(g *group) float64 {
	if len(g.waiting) > 0 { // duplicates would delay the waiting requests
		return maxLostRatio
	}
	return min(maxLostRatio, max(minLostRatio, -math.Log(r.lossRate)))
}

// refreshRates corrects the rates of the machine types and the servers from the answers of the last interval.
// Attempts in flight that have received more than their expected work count as well, as a stopped server
// would otherwise keep its rate; those that were overtaken do not.
func (r *Router) refreshRates() {
	r.nextRefresh = r.now + refreshInterval
	r.updateRequestRates(0, 0)
	oldWeight := rateMemory * r.meanWork
	step := func(expected, received float64) float64 {
		return min(maxRateStep, max(1/maxRateStep, (expected+oldWeight)/(received+oldWeight)))
	}
	byType := map[int][2]float64{} // expected work, work received
	for _, s := range r.sortedServers {
		r.advanceService(s)
		rate := r.warmRate(s)
		for _, a := range s.inFlight {
			service := s.service - a.serviceAtSend
			if a.overtakenBy == 0 && !a.presumedLost && !a.untimed && service*rate > a.req.expectedWork() {
				s.answeredService += service - a.req.expectedWork()/rate
			}
		}
		// From here on, answeredService is in units of work at the server's present rate.
		if s.answeredService *= rate; s.answeredWork > 0 || s.answeredService > 0 {
			sums := byType[s.entry.MachineType]
			byType[s.entry.MachineType] = [2]float64{sums[0] + s.answeredWork, sums[1] + s.answeredService}
		}
	}
	for _, s := range r.sortedServers {
		if s.answeredWork > 0 || s.answeredService > 0 {
			typeStep := step(byType[s.entry.MachineType][0], byType[s.entry.MachineType][1])
			s.relativeRate = min(maxRate,
				max(1/maxRate, s.relativeRate*step(s.answeredWork, s.answeredService*typeStep)))
		}
		s.answeredWork, s.answeredService = 0, 0
	}
	for machineType, sums := range byType { // the order does not matter: the types are independent
		r.machineRates[machineType] = min(maxRate,
			max(1/maxRate, r.machineRates[machineType]*step(sums[0], sums[1])))
	}
	r.normalizeRates()
	r.adjustLimits()
	// Removed servers are dropped once they have not answered for a while and have nothing in flight.
	r.sortedServers = slices.DeleteFunc(r.sortedServers, func(s *server) bool {
		if s.removedAt == 0 || r.now-max(s.removedAt, s.lastAnswer) < removedRetention ||
			len(s.inFlight) > 0 {
			return false
		}
		r.removeServer(s)
		return true
	})
}

// adjustLimits moves the concurrency limits towards the load from which answers are slower. A limit never
// falls below its initial value, since periods in which a server is slow look like overload.
func (r *Router) adjustLimits() {
	for _, limit := range r.concurrencyLimits { // the order does not matter: the limits are independent
		lowLoadLatency, target := 0.0, 0.0
		for i, step := range limit.latencies {
			if step.count < minLimitSamples {
				continue
			}
			if lowLoadLatency == 0 {
				lowLoadLatency = step.value
			}
			load := math.Pow(2, float64(i)/2) * r.loadPerOwnRequest()
			if step.value > limitSlowdown*lowLoadLatency {
				target = min(target, load)
				break
			}
			target = load * limitGrowth
		}
		limit.limit = max(initialLimit, limit.limit/maxLimitStep, min(limit.limit*maxLimitStep, target))
	}
}
