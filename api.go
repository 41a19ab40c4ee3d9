// Package beechgrade decides where a proxy sends each request when the servers behind it form
// groups of one primary and its replicas. It holds decisions only: no sockets, no clock, no
// goroutines. The embedding proxy feeds events to a Router and carries out its actions.
//
// This file defines the interface: settings, events and actions. The decisions are in router.go, those on the
// health of servers in health.go, and those on attempts that are not sent yet in unsent.go.
package beechgrade

import "time"

// Time is a reading of the embedding proxy's monotonic clock. Its origin does not matter.
type Time = time.Duration

// ServerID identifies one server (its address). RequestID identifies one request.
type (
	ServerID  string
	RequestID string
)

// Effect specifies whether a request may be repeated.
type Effect uint8

const (
	Safe         Effect = iota // may be repeated at will
	Deduplicated               // the servers of the scope drop repeats within the deduplication window
	Unsafe                     // must never run twice
)

// Scope specifies which servers drop the repeats of a deduplicated request.
type Scope uint8

const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeGroup
)

// ReadKind specifies which members of its group may run a request.
type ReadKind uint8

const (
	ReadAny     ReadKind = iota // every member
	ReadBounded                 // members whose data at the send is no older than StalenessBound
	ReadSession                 // members whose data includes the session's own writes
	ReadFresh                   // the primary, whose data includes all earlier writes
	Write                       // the primary
)

// LagPolicy specifies what a replica does with a read when its data is older than the read allows.
type LagPolicy uint8

const (
	LagServesStale LagPolicy = iota // the replica answers from stale data, so the router has to prevent it
	LagRejects                      // the replica rejects the read without running it
	LagWaits                        // the replica waits up to LagWaitTime, then rejects the read without running it
)

// Class describes one class of requests.
type Class struct {
	LatencyTarget  time.Duration // an answer within this time has the full value
	Deadline       time.Duration // the client abandons the request after this time
	Value          float64       // value of an answer in time, relative to the other classes
	LateFactor     float64       // part of Value that an answer between LatencyTarget and Deadline still has
	Effect         Effect
	Scope          Scope
	DedupWindow    time.Duration // repeats are dropped for this long after the first send that may have run
	Read           ReadKind
	StalenessBound time.Duration // the greatest age of the data, for ReadBounded
}

// Tenant is a customer. Allowance is its share of the capacity, in requests a second over all routers, or 0 for
// no limit.
type Tenant struct{ Allowance float64 }

// Settings holds the configuration of a router.
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
	MaxRetryAfter time.Duration // longest retry delay that clients may be advised, 0 for no advice
	MaxAttempts   int

	DrainGrace       time.Duration // how long sends to a draining server are tolerated; the router stops at once
	SoftRemoval      bool          // a server missing from the list may still serve; only the state Draining forbids sends
	OverloadMultiple float64       // a cold server must not be sent this multiple of its capacity for OverloadTime
	OverloadTime     time.Duration // how long a cold server withstands an overload, 0 for no limit
	ColdCapacity     float64       // part of its capacity that a server has when it starts
	ColdDuration     time.Duration // time from its start until a server has its full capacity
	CrossZoneCost    float64       // cost of an attempt in another zone, as part of the request's value
	ProbeCost        float64       // cost of a probe, as part of the request's value
	ReportsInAnswers bool          // answers carry load reports as well
}

// Event is an input to the router.
type Event interface{ event() }

// Request is a client's request. It gets exactly one final answer.
type Request struct {
	ID          RequestID
	Class       int
	Group       int
	Tenant      int
	Deadline    Time // the client abandons the request at this time
	Session     string
	SinceCommit time.Duration // for session reads: time since the session's last commit, 0 for none
	Work        time.Duration // expected work on a standard core, 0 if unknown
	Retry       bool          // the client has sent this request before
}

// Result is the way in which an attempt or probe ended.
type Result uint8

const (
	OK          Result = iota
	Failed             // the server answered with an error; it may have had an effect
	Overloaded         // rejected by the server before it was read: too much load
	TimedOut           // no answer in time
	Unreachable        // no connection, or one that broke before the attempt was sent: it cannot have run
	Reset              // the connection dropped with the attempt in flight
	Cancelled          // cancelled by the router
	Skipped            // not sent, with no evidence against the server: for example, the request has ended or is past SendDeadline
	Misdirected        // rejected without running: the server is not the primary, or its data is too old
)

// resultNames are the results' names in reasons and logs.
var resultNames = [...]string{OK: "ok", Failed: "failed", Overloaded: "full", TimedOut: "timedout", Unreachable: "unreachable",
	Reset: "reset", Cancelled: "cancelled", Skipped: "skipped", Misdirected: "missed"}

// String returns the result's name.
func (r Result) String() string {
	if int(r) < len(resultNames) {
		return resultNames[r]
	}
	return "unknown"
}

// Role is a server's role as stated in an answer or report.
type Role uint8

const (
	RoleUnknown Role = iota
	RolePrimary
	RoleReplica
)

// Report is what a server reported about itself. Position is a time on the router's clock up to which it has
// applied every commit. HasPosition and HasInFlight report whether the server reported
// these fields.
type Report struct {
	Role        Role
	Position    Time
	HasPosition bool
	InFlight    float64 // requests in flight at the server, from all routers
	HasInFlight bool
}

// Outcome reports the end of an attempt. Final is set if the request has ended with it.
type Outcome struct {
	ID         RequestID
	Attempt    int
	Server     ServerID
	Result     Result
	Final      bool
	Report     Report // role and position at the time of the answer
	LoadReport Report // load report that came with the answer, taken some time before it
}

// Abandoned reports that a request has ended because its client no longer waits for the answer.
type Abandoned struct{ ID RequestID }

// ProbeResult reports the result of a probe.
type ProbeResult struct {
	Server ServerID
	Result Result
	Report Report
}

// ListKind is the kind of the entries in a List event.
type ListKind uint8

const (
	ListChanges  ListKind = iota // changed entries only
	ListFull                     // all entries; a server that is missing has been removed
	ListRestored                 // all entries as last known, perhaps out of date
	ListFailed                   // a call for the list failed; the previous list stays valid
)

// ServerState is a server's state in the list.
type ServerState uint8

const (
	Serving ServerState = iota
	Draining
	Removed
)

// Entry is an entry of the server list.
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

// List is an update of the server list.
type List struct {
	Kind    ListKind
	Entries []Entry
}

// Timer reports that the timer set with this Tag has fired.
type Timer struct{ Tag int64 }

func (*Request) event()     {}
func (*Outcome) event()     {}
func (*Abandoned) event()   {}
func (*ProbeResult) event() {}
func (*List) event()        {}
func (*Timer) event()       {}

// ActionKind is the kind of an Action.
type ActionKind uint8

const (
	Send         ActionKind = iota // start the next attempt of ID at Server, unless SendDeadline passes before it is sent
	Cancel                         // stop waiting for attempt Attempt of ID
	CancelUnsent                   // end attempt Attempt of ID as Skipped, unless it has been sent
	Refuse                         // final answer: a retry is harmless, best after Wait
	Fail                           // final answer: the request may have had an effect
	Probe                          // probe Server
	SetTimer                       // deliver a Timer event with Tag at time At
	Subscribe                      // subscribe to the server list
	FetchList                      // fetch the full list once
	Log                            // write Text to the log
)

// Action is something that the embedding proxy has to do. Actions are carried out in order.
type Action struct {
	Kind         ActionKind
	ID           RequestID
	Attempt      int
	Server       ServerID
	Wait         time.Duration // for Send: the time-out, 0 for the request's deadline; for Refuse: the advised delay, 0 for none
	At           Time
	SendDeadline Time // for Send: an attempt that is not sent before this time ends as Skipped
	Tag          int64
	Text         string // message of a Log, reason of a Refuse or Fail
}
