// Package beechgrade decides where a proxy sends each request when the servers behind it form
// groups of one primary and its replicas. It holds decisions only: no sockets, no clock, no
// goroutines. The embedding proxy feeds events to a Router and carries out its actions.
//
// This file is the interface: settings, events and actions. Decisions are in router.go, those on health in health.go.
package beechgrade

import "time"

// Time is a reading of the embedder's monotonic clock. Its origin does not matter.
type Time = time.Duration

// ServerID identifies one server (its address). RequestID identifies one request.
type (
	ServerID  string
	RequestID string
)

// Effect says what repeating a request may do.
type Effect uint8

// The effects.
const (
	Safe         Effect = iota // may be repeated at will
	Deduplicated               // the servers of the scope drop repeats within the deduplication window
	Unsafe                     // must never run twice
)

// Scope says which servers drop the repeats of a deduplicated request.
type Scope uint8

// The scopes.
const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeGroup
)

// ReadKind says which members of its group may take a request.
type ReadKind uint8

// The kinds.
const (
	ReadAny     ReadKind = iota // every member
	ReadBounded                 // data no older than the class's bound at the send
	ReadSession                 // data that holds the session's own writes
	ReadFresh                   // everything written before the request came: the primary
	Write                       // the primary
)

// LagPolicy says what a replica does with a read when its data is older than the read allows.
type LagPolicy uint8

// The lag policies.
const (
	LagServesStale LagPolicy = iota // the replica answers from stale data, so the router has to prevent it
	LagRejects                      // the replica rejects the read without running it
	LagWaits                        // the replica waits up to LagWaitTime, then rejects the read without running it
)

// Class is the contract of one kind of request.
type Class struct {
	LatencyTarget  time.Duration // an answer within this time has the full value
	Deadline       time.Duration // the client gives up after this time
	Value          float64
	LateFactor     float64 // part of Value that an answer between LatencyTarget and Deadline still has
	Effect         Effect
	Scope          Scope
	DedupWindow    time.Duration // repeats are dropped for this long after the first send that may have run
	Read           ReadKind
	StalenessBound time.Duration // the greatest age of the data, for ReadBounded
}

// Tenant is a customer with a share; Allowance is in requests a second over all routers, 0 for no limit.
type Tenant struct{ Allowance float64 }

// Settings is what a router is told when it starts.
type Settings struct {
	RouterCount     int // number of routers in this tier, including this one
	Zone            int
	Tick            time.Duration
	Classes         []Class
	Tenants         []Tenant
	OverShareFactor float64 // part of its value that a request has when its tenant is over its allowance

	SubscribeList    bool // the router has to subscribe to the server list
	LagPolicy        LagPolicy
	LagWaitTime      time.Duration // for LagWaits: how long a replica waits
	TrackCommits     bool          // the router has to remember the last commit of each session
	ListShowsRole    bool
	ListRoleUpdates  bool // the role in the list is updated, with a delay
	WeightTracksLoad bool // Entry.Weight changes with load, so it is not a measure of capacity

	MayCancel     bool
	MayDuplicate  bool
	MayProbe      bool
	MaxRetryAfter time.Duration // longest wait that clients may be advised to keep, 0 for no advice
	MaxAttempts   int

	DrainGrace       time.Duration
	SoftRemoval      bool          // a server missing from the list may still serve; only the state Draining forbids sends
	OverloadMultiple float64       // a cold server must not be sent this multiple of its capacity for OverloadTime
	OverloadTime     time.Duration // how long a cold server withstands an overload, 0 for no limit
	ColdCapacity     float64       // part of its capacity that a server has when it starts
	ColdDuration     time.Duration // time from its start until a server has its full capacity
	CrossZoneCost    float64       // cost of an attempt in another zone, as part of the request's value
	ProbeCost        float64       // cost of a probe, as part of the request's value
	ReportsInAnswers bool          // answers carry load reports as well
}

// Event is something the router is told.
type Event interface{ event() }

// Request is a client's request; the router now owes it exactly one final answer.
type Request struct {
	ID          RequestID
	Class       int
	Group       int
	Tenant      int
	Deadline    Time // the client gives up this request at this time
	Session     string
	SinceCommit time.Duration // for session reads: time since the session's last commit, 0 for none
	Work        time.Duration // expected work on a standard core, 0 if unknown
	Retry       bool          // the client has sent this request before
}

// Result says how an attempt or probe ended.
type Result uint8

// The results.
const (
	OK          Result = iota
	Failed             // the server answered with an error; it may have had an effect
	Overloaded         // rejected by the server before it was read: too much load
	TimedOut           // no answer in time
	Unreachable        // no connection: never sent
	Reset              // the connection dropped with the attempt in flight
	Cancelled          // called off by the router
	Skipped            // never sent: the request was over
	Misdirected        // rejected without running: the server is not the primary, or its data is too old
)

// resultNames are the results' names in reasons and logs.
var resultNames = [...]string{OK: "ok", Failed: "failed", Overloaded: "full", TimedOut: "timedout", Unreachable: "unreachable",
	Reset: "reset", Cancelled: "cancelled", Skipped: "skipped", Misdirected: "missed"}

// String is the result's name.
func (r Result) String() string {
	if int(r) < len(resultNames) {
		return resultNames[r]
	}
	return "unknown"
}

// Role is what an answer or report tells of a server's role.
type Role uint8

// The roles.
const (
	RoleUnknown Role = iota
	RolePrimary
	RoleReplica
)

// Report is what a server reported about itself. Position is a time on the router's clock up to which it has
// applied every commit. HasPosition and HasInFlight say which fields were reported.
type Report struct {
	Role        Role
	Position    Time
	HasPosition bool
	InFlight    float64 // requests in flight at the server, from all routers
	HasInFlight bool
}

// Outcome ends an attempt. Final is set when the request is over.
type Outcome struct {
	ID         RequestID
	Attempt    int
	Server     ServerID
	Result     Result
	Final      bool
	Report     Report // role and position at the time of the answer
	LoadReport Report // load report that came with the answer, taken some time before it
}

// Abandoned reports that a request is over because its client has gone.
type Abandoned struct{ ID RequestID }

// ProbeResult is the answer to a probe.
type ProbeResult struct {
	Server ServerID
	Result Result
	Report Report
}

// ListKind says what a List event holds.
type ListKind uint8

// The kinds of list.
const (
	ListChanges  ListKind = iota // changed entries only
	ListFull                     // everything; what is missing is gone
	ListRestored                 // everything as last seen, perhaps stale
	ListFailed                   // a list call failed; the old list stands
)

// ServerState is a server's state in the list.
type ServerState uint8

// The states.
const (
	Serving ServerState = iota
	Draining
	Removed
)

// Entry is a line of the server list.
type Entry struct {
	Server      ServerID
	Group       int
	MachineType int
	Zone        int
	Weight      float64
	State       ServerState
	StartedAt   Time // when its process last started, 0 for long ago
	Primary     bool
}

// List is news of the servers.
type List struct {
	Kind    ListKind
	Entries []Entry
}

// Timer is a wake-up that the router asked for.
type Timer struct{ Tag int64 }

func (*Request) event()     {}
func (*Outcome) event()     {}
func (*Abandoned) event()   {}
func (*ProbeResult) event() {}
func (*List) event()        {}
func (*Timer) event()       {}

// ActionKind says what an Action asks for.
type ActionKind uint8

// The actions.
const (
	Send      ActionKind = iota // start the next attempt of ID at Server with time-out Wait, unless SendDeadline passes first
	Cancel                      // stop waiting for attempt Attempt of ID
	Refuse                      // final answer: trying again is harmless, best after Wait
	Fail                        // final answer: nothing is promised
	Probe                       // probe Server
	SetTimer                    // send a Timer with Tag at At
	Subscribe                   // subscribe to the server list
	FetchList                   // ask for the whole list once
	Log                         // a line for the log
)

// Action is something the router asks its embedder to do, in order.
type Action struct {
	Kind         ActionKind
	ID           RequestID
	Attempt      int
	Server       ServerID
	Wait         time.Duration
	At           Time
	SendDeadline Time // an attempt that still waits for a connection at this time ends as Skipped
	Tag          int64
	Text         string // of a Log; of a Refuse or Fail: why
}
