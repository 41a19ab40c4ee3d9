package beechgrade

// This file holds the router's state and its bookkeeping. The decisions are in router.go, health.go and unsent.go.

import (
	"cmp"
	"hash/fnv"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// never is a time before every event.
const never = Time(math.MinInt64 / 2)

// Router makes the decisions of one proxy. It is not safe for concurrent use.
type Router struct {
	cfg     Settings
	rng     *rand.Rand
	now     Time
	actions []Action

	classes       []class
	tenants       []tenant
	servers       map[ServerID]*server
	sortedServers []*server // by id
	groups        map[int]*group
	sortedGroups  []*group // by number
	requests      map[RequestID]*request

	sessionCommits  map[sessionHash]Time // last commit of each session, if TrackCommits is set
	forgottenCommit Time                 // latest commit among the sessions dropped from sessionCommits

	minLatencyTarget      time.Duration // smallest latency target of all classes
	inFlight              int           // attempts in flight
	meanWork              float64       // average work of a request, over answerCount answers
	answerCount           float64
	lossRate              float64       // fraction of attempts that are never answered
	primarySearchInterval time.Duration // time between probes of a member while a write waits for a primary

	machineRates      map[int]float64           // warm rate of each machine type
	concurrencyLimits map[int]*concurrencyLimit // by machine type
	zoneLatencies     map[int]zoneLatency       // by zone

	// Rates of this router's own requests at rateUpdatedAt: decaying sums, divided by the decaying time rateSpan.
	requestRate     float64 // requests a second
	requestSum      float64
	primaryWorkRate float64 // work a second of the requests that only a primary can take
	primaryWorkSum  float64
	rateSpan        float64 // in seconds
	rateUpdatedAt   Time

	loadReported  bool // some report has included the number of requests in flight
	listReceived  bool // a server list has arrived
	timerAt       Time // time of the pending timer, never if there is none
	nextRefresh   Time
	nextSubscribe Time
	lastSubscribe Time

	subscribeFailures int // subscriptions in a row that ended within maxSubscribePause
}

// health is a server's health as judged by this router.
type health uint8

const (
	healthy health = iota
	onTrial        // takes up to trialRequests requests at once until it answers
	down           // takes nothing until a probe succeeds or, where probes are not allowed, a pause has passed
)

type server struct {
	id           ServerID
	entry        Entry
	group        *group
	inFlight     []*attempt // in the order of their sends
	presumedLost int        // number of attempts in inFlight that are presumed lost
	draining     bool
	removedAt    Time // when it left the list, 0 while it is in the list
	softRemoval  bool // it may still be used after it left the list

	relativeRate      float64 // its warm rate as a multiple of its machine type's
	trafficShare      float64 // part of the group's requests that this router sends to it
	lastFailureChance float64 // chance of a failed answer, as of failureChanceAt
	failureChanceAt   Time

	// service is the virtual service, in seconds at the warm rate: the integral over time of the fraction of its warm
	// rate that each request in flight receives.
	service                       float64
	serviceUpdatedAt              Time
	frozenShare                   float64 // rate for each request as of the last time it was chosen, used until frozenUntil
	frozenUntil                   Time
	answeredWork, answeredService float64 // expected work of the answers since the last refresh, and the service they received
	othersInFlight                float64 // other routers' requests in flight, as of loadReportedAt

	position           Time    // highest position reported; it never decreases
	positionAt         Time    // when position last advanced
	positionReportedAt Time    // when a position was last reported, whether it was new or not
	applyRate          float64 // how far the position advances per unit of time
	role               Role
	roleAt             Time // time of the evidence for the role

	health          health
	downAt          Time    // when it was last found down
	lastAnswer      Time    // last answer to an attempt
	lastProbe       Time    // last probe sent
	probing         bool    // a probe is pending
	probeFailures   int     // failed probes in a row
	loadReportedAt  Time    // last report or inference of its load
	overloadedUntil Time    // it gets no requests until then
	coldSince       Time    // approximate start, never if that was long ago
	coldWork        float64 // level of the leaky bucket of work sent while it is cold
	coldWorkAt      Time    // when coldWork was last updated
	refusedSince    Time    // first of an unbroken run of refused or broken connections, 0 if none
}

type group struct {
	id      int
	members []*server
	waiting []*request // requests that no server can take yet
}

type attempt struct {
	req           *request
	server        *server
	number        int
	sentAt        Time
	serviceAtSend float64 // the server's virtual service at the send
	coldSince     Time    // the server's coldSince when it was chosen
	ownInFlight   int     // this router's requests in flight at the server at the send, including this one
	ended         bool
	retried       bool // a duplicate was sent or the attempt cancelled, as its server was down or it was presumed lost
	overtakenBy   int  // later attempts at the server that were answered before this one
	presumedLost  bool // it will probably never be answered
	untimed       bool // in flight while this router was paused, so its latency is not a measurement
}

type request struct {
	id               RequestID
	class            *class
	group            *group
	arrived          Time
	deadline         Time
	targetTime       Time // the latency target as a point in time
	session          sessionHash
	minPosition      Time // for session reads: position that a server must have reached
	value            float64
	admissionDraw    float64 // random number from 0 to 1, by which a cold server admits requests
	relativeWork     float64 // its work hint over the average hint of its class, 1 without a hint
	usefulUntil      Time    // an answer has no value after this time
	attempts         []*attempt
	inFlight         int  // attempts in flight
	possiblyRan      bool // an attempt may have run
	possiblyRanSent  Time // send time of the first attempt that may have run
	possiblyRanZone  int  // zone of that attempt
	reachedServer    bool // an attempt has reached a server
	probeCount       int  // servers probed for it since its last attempt ended
	awaitProbesUntil Time // it waits for those probes until then
	finished         bool
}

type class struct {
	Class
	meanWork    float64 // average work, in seconds of a server with rate 1
	answerCount float64
	meanLatency float64 // average time to an answer, measured in tiers of up to fewRouters routers
	meanHint    float64 // average work hint, over hintCount hints
	hintCount   float64

	// fastestAnswer caches the shortest expected time to an answer of an average request in fastestAnswerGroup, as
	// of fastestAnswerAt.
	fastestAnswer      Time
	fastestAnswerAt    Time
	fastestAnswerGroup *group
}

// tenant is the token bucket of a tenant with an allowance.
type tenant struct {
	tokens     float64
	refilledAt Time
}

// addServer adds a server about which nothing is known yet.
func (r *Router) addServer(id ServerID, g *group) *server {
	s := &server{id: id, group: g, serviceUpdatedAt: r.now, position: never, applyRate: 1, relativeRate: 1,
		positionAt: r.now, roleAt: never, loadReportedAt: never, failureChanceAt: never, lastProbe: never,
		coldSince: never, lastAnswer: never, downAt: never}
	r.servers[id] = s
	r.sortedServers = append(r.sortedServers, s)
	slices.SortFunc(r.sortedServers, func(a, b *server) int { return cmp.Compare(a.id, b.id) })
	g.members = append(g.members, s)
	return s
}

func (s *server) hasInFlight() bool { return len(s.inFlight) > 0 }

// removeServer removes a server, and its group if that has no other member and no waiting request. The caller removes the
// server from sortedServers.
func (r *Router) removeServer(s *server) {
	g := s.group
	g.members = slices.DeleteFunc(g.members, func(o *server) bool { return o == s })
	delete(r.servers, s.id)
	if len(g.members) == 0 && len(g.waiting) == 0 {
		delete(r.groups, g.id)
		r.sortedGroups = slices.DeleteFunc(r.sortedGroups, func(o *group) bool { return o == g })
	}
}

// maxMeanRate bounds the mean rate of all servers, and 1/maxMeanRate bounds it from below.
const maxMeanRate = 8.0

// normalizeRates bounds the common scale of rates and work. Answers only determine work in proportion to rates, so chance
// drives the scale up. The rate of a machine type becomes the geometric mean of its servers that have answered, and a server
// without answers takes that mean. The ratios between the estimates do not change.
func (r *Router) normalizeRates() {
	logSum, count := 0.0, 0.0
	logByType := map[int][2]float64{} // sum and number of the logarithms of relativeRate
	for _, s := range r.sortedServers {
		if logs := logByType[s.entry.MachineType]; s.lastAnswer != never {
			logByType[s.entry.MachineType] = [2]float64{logs[0] + math.Log(s.relativeRate), logs[1] + 1}
			logSum, count = logSum+math.Log(r.warmRate(s)), count+1
		}
	}
	scale := math.Exp(logSum / max(1, count))
	if scale < maxMeanRate && scale > 1/maxMeanRate {
		scale = 1
	}
	for _, s := range r.sortedServers {
		if logs := logByType[s.entry.MachineType]; s.lastAnswer != never {
			s.relativeRate /= math.Exp(logs[0] / logs[1])
		}
		s.coldWork /= scale
	}
	for machineType, logs := range logByType { // the order does not matter: the types are independent
		r.machineRates[machineType] *= math.Exp(logs[0] / logs[1])
	}
	for machineType := range r.machineRates {
		r.machineRates[machineType] /= scale
	}
	for i := range r.classes {
		r.classes[i].meanWork /= scale
	}
	r.meanWork, r.primaryWorkRate, r.primaryWorkSum = r.meanWork/scale, r.primaryWorkRate/scale, r.primaryWorkSum/scale
}

// concurrencyLimit is the number of requests that a server of one machine type processes at the full rate each. It is learned
// from the latency of answers, by the number of this router's requests in flight at the server when they were sent.
type concurrencyLimit struct {
	limit     float64
	latencies [limitSteps]average // as multiples of the class's mean latency; step i begins at 2^(i/2) in flight
}

type average struct{ value, count float64 }

// limitSteps is the number of load steps in which latencies are recorded.
const limitSteps = 14

func (r *Router) limitOfType(machineType int) *concurrencyLimit {
	limit := r.concurrencyLimits[machineType]
	if limit == nil {
		limit = &concurrencyLimit{limit: initialLimit}
		r.concurrencyLimits[machineType] = limit
	}
	return limit
}

func (r *Router) concurrencyLimit(s *server) float64 { return r.limitOfType(s.entry.MachineType).limit }

// loadPerOwnRequest is the load that one request of this router indicates where other routers' load is not reported: itself
// and, for each other router, a part of a request.
func (r *Router) loadPerOwnRequest() float64 { return 1 + maxOthersRatio*float64(r.cfg.RouterCount-1) }

// recordLatency records the latency of an answer, as a multiple of its class's mean latency. The latency expected from work
// and rate is no reference, as both are learned by means of the concurrency limit. The estimate of other routers' load is not
// used either, as it grows with the limit. Nothing is recorded where there are many routers, as each one then sees too little
// of a server's load, or for a cold or slow server, which answers late for other reasons.
func (r *Router) recordLatency(s *server, a *attempt, latency Time) {
	if fewRouters < r.cfg.RouterCount || r.capacityFraction(s) < 1 || s.relativeRate < limitGrowth/2 {
		return
	}
	c := a.req.class
	c.meanLatency += max(1/meanLatencyMemory, 1/(c.answerCount+1)) * (latency.Seconds() - c.meanLatency)
	step := &r.limitOfType(s.entry.MachineType).latencies[min(limitSteps-1, int(2*math.Log2(max(1, float64(a.ownInFlight)))))]
	step.count = min(limitMemory, step.count+1)
	step.value += (latency.Seconds()/max(1e-6, c.meanLatency*a.req.relativeWork) - step.value) / step.count
}

// rateShare returns the fraction of a server's rate that each of n requests gets. A request alone gets all of it, and beyond
// the concurrency limit each one gets about limit/n.
func (r *Router) rateShare(s *server, n float64) float64 {
	limit := r.concurrencyLimit(s)
	x := n * n / (limit * limit)
	return 1 / math.Sqrt(math.Sqrt(1+x*x))
}

// groupFor returns a group and adds it if it is new.
func (r *Router) groupFor(id int) *group {
	g := r.groups[id]
	if g == nil {
		g = &group{id: id}
		r.groups[id] = g
		r.sortedGroups = append(r.sortedGroups, g)
		slices.SortFunc(r.sortedGroups, func(a, b *group) int { return a.id - b.id })
	}
	return g
}

// removeEmptyGroups removes the groups that have neither members nor waiting requests. While no server is known, every group that a
// client names is added, so that its requests can wait for a list.
func (r *Router) removeEmptyGroups() {
	isEmpty := func(g *group) bool { return len(g.members) == 0 && len(g.waiting) == 0 }
	r.sortedGroups = slices.DeleteFunc(r.sortedGroups, func(g *group) bool {
		if isEmpty(g) {
			delete(r.groups, g.id)
		}
		return isEmpty(g)
	})
}

// addAttempt records an attempt that is sent.
func (r *Router) addAttempt(s *server, a *attempt) {
	s.inFlight = append(s.inFlight, a)
	a.req.attempts = append(a.req.attempts, a)
	a.req.inFlight++
	r.inFlight++
}

// wasSentTo reports whether an attempt of the request was sent to a server.
func (q *request) wasSentTo(s *server) bool {
	return slices.ContainsFunc(q.attempts, func(a *attempt) bool { return a.server == s })
}

// presumeAllLost marks all attempts in flight at a server as presumed lost.
func (s *server) presumeAllLost() {
	s.presumedLost = len(s.inFlight)
	for _, a := range s.inFlight {
		a.presumedLost = true
	}
}

// markAllUntimed marks all attempts in flight as untimed. It also moves every server's last answer to now, so that this
// router's own pause does not make the servers look silent.
func (r *Router) markAllUntimed() {
	for _, s := range r.sortedServers {
		s.lastAnswer = r.now
		for _, a := range s.inFlight {
			a.untimed = true
		}
	}
}

// removeAttempt removes an ended attempt and returns it with the number of older attempts still in flight at the server. It
// returns nil for an unknown attempt.
func (r *Router) removeAttempt(s *server, id RequestID, number int) (*attempt, int) {
	i := slices.IndexFunc(s.inFlight, func(a *attempt) bool { return a.req.id == id && a.number == number })
	if i < 0 {
		return nil, 0
	}
	a := s.inFlight[i]
	s.inFlight = slices.Delete(s.inFlight, i, i+1)
	if a.presumedLost {
		s.presumedLost--
	}
	a.ended = true
	a.req.inFlight--
	r.inFlight--
	return a, i
}

// updateRequestRates adds n requests, and the work of those that only a primary can take, to the decaying sums and updates the
// rates.
func (r *Router) updateRequestRates(n, primaryWork float64) {
	elapsed := (r.now - r.rateUpdatedAt).Seconds()
	decay := math.Exp(-elapsed / requestRateMemory.Seconds())
	r.requestSum, r.primaryWorkSum = r.requestSum*decay+n, r.primaryWorkSum*decay+primaryWork
	r.rateSpan, r.rateUpdatedAt = r.rateSpan*decay+elapsed, r.now
	r.requestRate, r.primaryWorkRate = r.requestSum/max(r.rateSpan, 1), r.primaryWorkSum/max(r.rateSpan, 1)
}

// sessionHash identifies a session by the hash of its key, which may be long. Sessions with the same hash count as one, so that each
// waits for the commits of both.
type sessionHash uint64

func hashOfSession(key string) sessionHash {
	h := fnv.New64a()
	_, _ = io.WriteString(h, key) // never fails
	return sessionHash(h.Sum64())
}

// rememberCommit records the position of a session's last commit, or the time of the answer if that holds no position. When
// the table is full it is emptied; from then on a dropped session counts as having committed as late as any dropped one.
func (r *Router) rememberCommit(session sessionHash, report Report) {
	position := r.now
	if report.HasPosition {
		position = report.Position
	}
	if r.sessionCommits == nil || len(r.sessionCommits) >= maxSessions {
		for _, t := range r.sessionCommits {
			r.forgottenCommit = max(r.forgottenCommit, t)
		}
		r.sessionCommits = map[sessionHash]Time{}
	}
	r.sessionCommits[session] = max(position, r.sessionCommits[session])
}

// applyReport records the role, position and load in a report; at is the time of the evidence for the role.
func (r *Router) applyReport(s *server, report Report, at Time) {
	if report.HasPosition {
		s.positionReportedAt = r.now
	}
	if report.HasPosition && report.Position > s.position && report.Position <= r.now {
		if s.position != never && r.now-s.positionAt > 0 {
			rate := float64(report.Position-s.position) / float64(r.now-s.positionAt)
			s.applyRate += 0.3 * (min(1, rate) - s.applyRate)
		}
		s.position, s.positionAt = report.Position, r.now
	}
	if report.Role != RoleUnknown && at >= s.roleAt {
		r.setRole(s, report.Role, at)
	}
	if report.HasInFlight {
		r.advanceService(s)
		s.othersInFlight, s.loadReportedAt, r.loadReported = max(0, report.InFlight-float64(len(s.inFlight))), r.now, true
	}
}

// inferLoad takes an answer as evidence of inFlight requests at a server, and reports whether it did. It does not if the known
// load or this router's own requests explain the answer.
func (r *Router) inferLoad(s *server, inFlight float64) bool {
	n, _ := r.load(s)
	if fewRouters*(len(s.inFlight)+1) >= r.cfg.RouterCount || inFlight <= n {
		return false
	}
	s.othersInFlight, s.loadReportedAt = (n+inFlight)/2, r.now
	return true
}

// zoneLatency holds what was last measured of the path to a zone.
type zoneLatency struct {
	latency          float64 // average of the last measurements, in seconds
	measuredAt       Time
	lastAnsweredSend Time // latest send into the zone that was answered
}
