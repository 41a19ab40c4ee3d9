package beechgrade

// The records that the router keeps. No decision is made here.

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const never = Time(math.MinInt64 / 2)

// Router makes the decisions of one proxy. It is not safe for concurrent use.
type Router struct {
	cfg                   Settings
	rng                   *rand.Rand
	now                   Time
	actions               []Action
	classes               []class
	tenants               []tenant
	servers               map[ServerID]*server
	sortedServers         []*server // by id
	groups                map[int]*group
	sortedGroups          []*group // by number
	requests              map[RequestID]*request
	sessionCommits        map[string]Time // sessions' last commits where remembered
	forgottenCommit       Time            // latest commit of those dropped
	minLatencyTarget      time.Duration
	inFlight              int     // attempts in flight
	meanWork              float64 // average work of a request, over so many answers
	answerCount           float64
	lossRate              float64                   // part of the attempts that are never answered
	primarySearchInterval time.Duration             // between probes of a member while a write waits for a primary
	machineRates          map[int]float64           // rates by kind
	concurrencyLimits     map[int]*concurrencyLimit // by kind
	zoneLatencies         map[int]zoneLatency       // by zone
	requestRate           float64                   // own requests a second, decaying, over rateSpan up to rateUpdatedAt
	requestSum            float64
	primaryWorkRate       float64 // work a second of own requests that only a primary takes
	primaryWorkSum        float64 // its sum, as requestSum
	rateSpan              float64
	rateUpdatedAt         Time
	loadReported          bool // reports tell how many requests a server holds
	listReceived          bool
	timerAt               Time // the timer that is out, never for none
	nextRefresh           Time
	nextSubscribe         Time
	lastSubscribe         Time // last subscribed then

	subscribeFailures int // subscriptions in a row that did not hold
}

// health is what the router thinks of a server.
type health uint8

const (
	healthy health = iota
	onTrial        // may take a few requests at a time until it answers
	down           // takes nothing until a probe succeeds, or without probes a while has passed
)

type server struct {
	id                            ServerID
	entry                         Entry
	group                         *group
	inFlight                      []*attempt // in order of sending
	presumedLost                  int        // how many of them are thought lost
	draining                      bool
	removedAt                     Time    // when it left the list, 0 while in it
	softRemoval                   bool    // leaving the list alone does not bind
	relativeRate                  float64 // its rate against its kind's
	trafficShare                  float64 // part of the group's requests that this router sends there
	lastFailureChance             float64 // chance of a failed answer, at failureChanceAt
	failureChanceAt               Time
	service                       float64 // virtual service: the integral of one request's share of rate over time
	serviceUpdatedAt              Time
	frozenShare                   float64 // after a pick, what each request's share is taken to be...
	frozenUntil                   Time    // ...until then
	answeredWork, answeredService float64 // since the last refresh: average work of answered requests; service they took
	othersInFlight                float64 // in-flight requests of other routers there, as reported at loadReportedAt
	position                      Time    // known position: never goes back
	positionAt                    Time
	positionReportedAt            Time    // last told of its position, new or not
	applyRate                     float64 // how fast the position advances against the clock
	role                          Role
	roleAt                        Time // time of the evidence
	health                        health
	downAt                        Time // when it was last found bad
	lastAnswer                    Time // last answer of an attempt
	lastProbe                     Time // last probe sent
	probing                       bool
	probeFailures                 int  // probes failed in a row
	loadReportedAt                Time // last report of its load
	overloadedUntil               Time
	coldSince                     Time    // it started about then, never for long ago
	coldWork                      float64 // work sent while cold, leaking
	coldWorkAt                    Time
	refusedSince                  Time // first of an unbroken run of refused or broken connections, 0 if none
}

type group struct {
	id      int
	members []*server
	waiting []*request
}

type attempt struct {
	req           *request
	server        *server
	number        int
	sentAt        Time
	serviceAtSend float64 // the server's virtual service at the send
	ownInFlight   int     // our requests there, with it
	ended         bool
	retried       bool
	overtakenBy   int  // later attempts there answered before this one
	presumedLost  bool // it will probably never be answered
	untimed       bool // out while this router stood still: its time tells nothing
}

type request struct {
	id               RequestID
	class            *class
	group            *group
	arrived          Time
	deadline         Time
	targetTime       Time
	session          string
	minPosition      Time // session reads: the position that a server must have reached
	value            float64
	admissionDraw    float64 // from 0 to 1, drawn once: what a cold server rations by
	relativeWork     float64 // work against the class's average by the hint, 1 without one
	usefulUntil      Time    // after this an answer is worth nothing
	attempts         []*attempt
	inFlight         int
	possiblyRan      bool // an attempt may have run
	possiblyRanSent  Time // send of the first that may have, and its zone
	possiblyRanZone  int
	reachedServer    bool // an attempt got to a server
	probeCount       int  // servers asked for it
	awaitProbesUntil Time // it waits for them until then
	finished         bool
}

type class struct {
	Class
	meanWork    float64 // average work, in units of a rate-1 server's seconds
	answerCount float64
	meanLatency float64 // average time to an answer, where routers are few
	meanHint    float64 // average work hint, over so many
	hintCount   float64

	fastestAnswer      Time // an average one's soonest answer in a group, as of fastestAnswerAt
	fastestAnswerAt    Time
	fastestAnswerGroup *group
}

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

// removeServer unfiles a server, and with its last server a group that nothing waits in; the caller takes it out of the order.
func (r *Router) removeServer(s *server) {
	g := s.group
	g.members = slices.DeleteFunc(g.members, func(o *server) bool { return o == s })
	delete(r.servers, s.id)
	if len(g.members) == 0 && len(g.waiting) == 0 {
		delete(r.groups, g.id)
		r.sortedGroups = slices.DeleteFunc(r.sortedGroups, func(o *group) bool { return o == g })
	}
}

// maxMeanRate is how far the mean rate may stray from 1, as a factor.
const maxMeanRate = 8.0

// normalizeRates keeps the scale that rates and works share: no answer holds it, and chance drives it up. A kind's rate is the
// mean of its heard servers', so that an unheard one takes that. No estimate changes against another.
func (r *Router) normalizeRates() {
	logSum, count := 0.0, 0.0
	logByType := map[int][2]float64{} // of the rates against their kind's: the logarithms' sum, how many
	for _, s := range r.sortedServers {
		if k := logByType[s.entry.MachineType]; s.lastAnswer != never {
			logByType[s.entry.MachineType] = [2]float64{k[0] + math.Log(s.relativeRate), k[1] + 1}
			logSum, count = logSum+math.Log(r.warmRate(s)), count+1
		}
	}
	scale := math.Exp(logSum / max(1, count))
	if scale < maxMeanRate && scale > 1/maxMeanRate {
		scale = 1
	}
	for _, s := range r.sortedServers {
		if k := logByType[s.entry.MachineType]; s.lastAnswer != never {
			s.relativeRate /= math.Exp(k[0] / k[1])
		}
		s.coldWork /= scale
	}
	for kind, k := range logByType { // each on its own: the order does not matter
		r.machineRates[kind] *= math.Exp(k[0] / k[1])
	}
	for kind := range r.machineRates {
		r.machineRates[kind] /= scale
	}
	for i := range r.classes {
		r.classes[i].meanWork /= scale
	}
	r.meanWork, r.primaryWorkRate, r.primaryWorkSum = r.meanWork/scale, r.primaryWorkRate/scale, r.primaryWorkSum/scale
}

// concurrencyLimit is how many requests a kind of server serves at full rate each, learned from how long answers take by how many
// of this router's own requests a server held when theirs was sent.
type concurrencyLimit struct {
	limit     float64
	latencies [limitSteps]average // against the class's mean; step i holds from 2^(i/2) of them on
}

type average struct{ value, count float64 }

const limitSteps = 14

func (r *Router) limitOfType(kind int) *concurrencyLimit {
	w := r.concurrencyLimits[kind]
	if w == nil {
		w = &concurrencyLimit{limit: initialLimit}
		r.concurrencyLimits[kind] = w
	}
	return w
}

func (r *Router) concurrencyLimit(s *server) float64 { return r.limitOfType(s.entry.MachineType).limit }

// loadPerOwnRequest is what one request of our own stands for where others' are not told: part of theirs.
func (r *Router) loadPerOwnRequest() float64 { return 1 + maxOthersRatio*float64(r.cfg.RouterCount-1) }

// recordLatency counts an answer's time against its class's mean, and not against what work and rate make of it, as both are
// learned by the width; nor does the guess of others' load enter, which grows with the width. One of many routers sees
// too little of what a server holds, and a cold or slow server is late for another reason.
func (r *Router) recordLatency(s *server, a *attempt, took Time) {
	if fewRouters < r.cfg.RouterCount || r.capacityFraction(s) < 1 || s.relativeRate < limitGrowth/2 {
		return
	}
	c := a.req.class
	c.meanLatency += max(1/meanLatencyMemory, 1/(c.answerCount+1)) * (took.Seconds() - c.meanLatency)
	step := &r.limitOfType(s.entry.MachineType).latencies[min(limitSteps-1, int(2*math.Log2(max(1, float64(a.ownInFlight)))))]
	step.count = min(limitMemory, step.count+1)
	step.value += (took.Seconds()/max(1e-6, c.meanLatency*a.req.relativeWork) - step.value) / step.count
}

// rateShare is the part of the rate for one alone that each of n requests gets: about width/n beyond the width.
func (r *Router) rateShare(s *server, n float64) float64 {
	w := r.concurrencyLimit(s)
	x := n * n / (w * w)
	return 1 / math.Sqrt(math.Sqrt(1+x*x))
}

// groupFor finds a group or files it.
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

// addAttempt files an attempt that goes out.
func (r *Router) addAttempt(s *server, a *attempt) {
	s.inFlight = append(s.inFlight, a)
	a.req.attempts = append(a.req.attempts, a)
	a.req.inFlight++
	r.inFlight++
}

// triedOn tells whether a request was sent to a server before.
func (q *request) triedOn(s *server) bool {
	return slices.ContainsFunc(q.attempts, func(a *attempt) bool { return a.server == s })
}

// presumeAllLost marks all that is out at a server as lost.
func (s *server) presumeAllLost() {
	s.presumedLost = len(s.inFlight)
	for _, a := range s.inFlight {
		a.presumedLost = true
	}
}

// markAllUntimed marks all that is out as of no measured time, and all servers as just heard.
func (r *Router) markAllUntimed() {
	for _, s := range r.sortedServers {
		s.lastAnswer = r.now
		for _, a := range s.inFlight {
			a.untimed = true
		}
	}
}

// removeAttempt unfiles an attempt that ended, and tells how many older ones are still out; nil if it is not known.
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

// updateRequestRates counts n more requests, and the work of those that only a primary takes, over a fading memory.
func (r *Router) updateRequestRates(n, primaryWork float64) {
	elapsed := (r.now - r.rateUpdatedAt).Seconds()
	keep := math.Exp(-elapsed / requestRateMemory.Seconds())
	r.requestSum, r.primaryWorkSum = r.requestSum*keep+n, r.primaryWorkSum*keep+primaryWork
	r.rateSpan, r.rateUpdatedAt = r.rateSpan*keep+elapsed, r.now
	r.requestRate, r.primaryWorkRate = r.requestSum/max(r.rateSpan, 1), r.primaryWorkSum/max(r.rateSpan, 1)
}

// rememberCommit keeps a session's last commit, as late as its answer where that does not tell. One dropped counts as late as
// any that was.
func (r *Router) rememberCommit(session string, report Report) {
	position := r.now
	if report.HasPosition {
		position = report.Position
	}
	if r.sessionCommits == nil || len(r.sessionCommits) >= maxSessions {
		for _, t := range r.sessionCommits {
			r.forgottenCommit = max(r.forgottenCommit, t)
		}
		r.sessionCommits = map[string]Time{}
	}
	r.sessionCommits[session] = max(position, r.sessionCommits[session])
}

// applyReport takes a role and a position; at is the time of the role's evidence.
func (r *Router) applyReport(s *server, report Report, at Time) {
	if report.HasPosition {
		s.positionReportedAt = r.now
	}
	if report.HasPosition && report.Position > s.position && report.Position <= r.now {
		if s.position != never && r.now-s.positionAt > 0 {
			p := float64(report.Position-s.position) / float64(r.now-s.positionAt)
			s.applyRate += 0.3 * (min(1, p) - s.applyRate)
		}
		s.position, s.positionAt = report.Position, r.now
	}
	if report.Role != RoleUnknown && at >= s.roleAt {
		s.role, s.roleAt = report.Role, at
	}
	if report.HasInFlight {
		r.advanceService(s)
		s.othersInFlight, s.loadReportedAt, r.loadReported = max(0, report.InFlight-float64(len(s.inFlight))), r.now, true
	}
}

// inferLoad takes an answer as evidence of so many requests met, unless our own explain them.
func (r *Router) inferLoad(s *server, inFlight float64) bool {
	n, _ := r.load(s)
	if fewRouters*(len(s.inFlight)+1) >= r.cfg.RouterCount || inFlight <= n {
		return false
	}
	s.othersInFlight, s.loadReportedAt = (n+inFlight)/2, r.now
	return true
}

// zoneLatency is what the way to a zone took, as seen last.
type zoneLatency struct {
	latency          float64
	measuredAt       Time
	lastAnsweredSend Time // latest send into the zone that was answered
}
