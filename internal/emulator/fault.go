package emulator

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"
)

// FaultKind names a kind of fault.
type FaultKind string

// The kinds of fault.
const (
	// FaultPause pauses a pooler's process for up to 0.15 s.
	FaultPause FaultKind = "stand"
	// FaultRestart is a planned restart of a pooler by SIGTERM, which further signals may follow.
	FaultRestart FaultKind = "restart"
	// FaultHungDrain is a planned restart of a pooler while all servers hang, for up to 4 s.
	FaultHungDrain FaultKind = "hung_drain"
	// FaultCrash kills a pooler without warning.
	FaultCrash FaultKind = "crash"
	// FaultReload moves discovery to another address, which a pooler learns from one or more SIGHUP.
	FaultReload FaultKind = "reload"
	// FaultDescriptorLimit makes a pooler run out of file descriptors.
	FaultDescriptorLimit FaultKind = "squeeze"
	// FaultSystemCall makes a system call of a pooler fail.
	FaultSystemCall FaultKind = "system_call"
	// FaultHang makes a server hang.
	FaultHang FaultKind = "hang"
	// FaultSlow makes a server slow.
	FaultSlow FaultKind = "slow"
	// FaultReset resets about half of the connections to a server.
	FaultReset FaultKind = "reset"
	// FaultResetIdle resets all idle connections to a server.
	FaultResetIdle FaultKind = "reset_idle"
	// FaultServerDown makes a server refuse connections for a while.
	FaultServerDown FaultKind = "server_down"
	// FaultDrain drains a replica, adds another one in its place, and removes the drained one.
	FaultDrain FaultKind = "drain"
	// FaultDiscoveryDown makes discovery unavailable.
	FaultDiscoveryDown FaultKind = "directory"
	// FaultSilentWatches leaves all watches open, but sends nothing more on them.
	FaultSilentWatches FaultKind = "silence"
	// FaultIdleClients makes idle clients use up a pooler's file descriptors.
	FaultIdleClients FaultKind = "crowd"
	// FaultBurst makes the clients send requests without a pause.
	FaultBurst FaultKind = "burst"
	// FaultPartialRequest opens a client connection that stops halfway through a request.
	FaultPartialRequest FaultKind = "half_way"
)

// Fault is one fault of a plan.
type Fault struct {
	At        time.Duration
	Kind      FaultKind
	Target    int           // selects the pooler or server
	Duration  time.Duration // how long it lasts; for FaultRestart and FaultCrash, the pause before the new start
	Injection string        // for FaultSystemCall: the call, the error and which calls fail
	Count     int           // from 1 to 5; apply derives from it, for example, the number of SIGHUPs or of idle clients
}

// String describes the fault in one line.
func (f Fault) String() string {
	return fmt.Sprintf("%.2fs %s target=%d span=%v count=%d %s", f.At.Seconds(), f.Kind, f.Target,
		f.Duration.Round(time.Millisecond), f.Count, f.Injection)
}

// faultWeights determine how often each kind is drawn.
var faultWeights = []struct {
	kind        FaultKind
	weight      int
	maxDuration time.Duration // the longest duration of the fault
}{
	{FaultPause, 12, 150 * time.Millisecond},
	{FaultRestart, 6, time.Second},
	{FaultHungDrain, 1, 4 * time.Second},
	{FaultCrash, 4, 1500 * time.Millisecond},
	{FaultReload, 6, 0},
	{FaultDescriptorLimit, 8, 2 * time.Second},
	{FaultSystemCall, 20, 2 * time.Second},
	{FaultHang, 5, 2 * time.Second},
	{FaultSlow, 4, 4 * time.Second},
	{FaultReset, 8, 0},
	{FaultResetIdle, 4, 0},
	{FaultServerDown, 4, 2 * time.Second},
	{FaultDrain, 4, 3 * time.Second},
	{FaultDiscoveryDown, 2, 6 * time.Second},
	{FaultSilentWatches, 2, 0},
	{FaultIdleClients, 2, 3 * time.Second},
	{FaultBurst, 3, time.Second},
	{FaultPartialRequest, 5, 0},
}

// The system calls that wait for events. If strace detaches while it makes a call fail, the call returns ENOSYS, which Linux
// itself never returns and on which Go's runtime aborts the process. The runtime's call is therefore made to fail at most three
// times, and not until strace detaches.
const (
	// pollCalls are the calls of the pooler's event loop (epoll_wait) and of Go's runtime (epoll_pwait).
	pollCalls = "epoll_wait,epoll_pwait"
	// loopPollCall is the call of the event loop alone.
	loopPollCall = "epoll_wait"
)

// systemCalls are the calls that a serving pooler makes, with temporary errors that Linux documents for them.
var systemCalls = []struct {
	call   string
	errnos []string
}{
	{"accept4", []string{"EMFILE", "ENFILE", "ENOBUFS", "ENOMEM", "EPROTO", "ECONNABORTED", "EINTR", "EPERM", "ENETUNREACH"}},
	{"epoll_ctl", []string{"ENOMEM", "ENOSPC"}},
	{pollCalls, []string{"EINTR"}},
	{"read", []string{"EINTR", "ENOMEM", "ENOBUFS"}},
	{"write", []string{"EINTR", "ENOBUFS", "ENOMEM"}},
	{"recvfrom", []string{"EINTR", "ENOMEM"}},
	{"socket", []string{"EMFILE", "ENFILE", "ENOBUFS", "ENOMEM"}},
	{"connect", []string{"EADDRNOTAVAIL", "EINTR", "EAGAIN", "ENETUNREACH", "ETIMEDOUT", "EHOSTUNREACH"}},
	{"setsockopt", []string{"ENOBUFS"}},
	{"getsockopt", []string{"ENOBUFS"}},
}

// meanFaultInterval is the mean time between two faults.
const meanFaultInterval = 350 * time.Millisecond

// warmUp is the time at the start of a run in which no fault begins.
const warmUp = time.Second

// Plan draws the faults of a run. The plan depends on the seed of rng and the other arguments only.
func Plan(rng *rand.Rand, length time.Duration, poolers, servers int) []Fault {
	var plan []Fault
	totalWeight := 0
	for _, entry := range faultWeights {
		totalWeight += entry.weight
	}
	for at := warmUp; ; {
		at += time.Duration(rng.ExpFloat64() * float64(meanFaultInterval))
		if at >= length {
			return plan
		}
		remaining := rng.IntN(totalWeight)
		for _, entry := range faultWeights {
			if remaining -= entry.weight; remaining >= 0 {
				continue
			}
			fault := Fault{At: at, Kind: entry.kind, Target: rng.IntN(poolers * servers), Count: 1 + rng.IntN(5),
				Duration: time.Duration((0.05 + 0.95*rng.Float64()) * float64(entry.maxDuration))}
			if entry.kind == FaultSystemCall {
				fault.Injection = drawSystemCall(rng)
			}
			plan = append(plan, fault)
			break
		}
	}
}

// drawSystemCall draws a system call, its error and which calls fail: the first, the first three, or all.
func drawSystemCall(rng *rand.Rand) string {
	choice := systemCalls[rng.IntN(len(systemCalls))]
	when := []string{"1", "1..3", "1+"}[rng.IntN(3)]
	if when == "1+" && choice.call == pollCalls {
		choice.call = loopPollCall
	}
	return choice.call + " " + choice.errnos[rng.IntN(len(choice.errnos))] + " " + when
}

// signalSeries are the series of signals that may follow a SIGTERM.
var signalSeries = [][]syscall.Signal{
	nil,
	{syscall.SIGTERM},
	{syscall.SIGHUP},
	{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP},
	{syscall.SIGINT},
}
