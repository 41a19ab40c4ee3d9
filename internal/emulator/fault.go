package emulator

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"
)

// FaultKind names a fault.
type FaultKind string

// The faults.
const (
	FaultStand      FaultKind = "stand"       // a pooler stands still for up to 0.15 s
	FaultRestart    FaultKind = "restart"     // a planned restart, with a series of signals
	FaultHungDrain  FaultKind = "hung_drain"  // the same, while all servers hang through the whole of it
	FaultCrash      FaultKind = "crash"       // a pooler is killed without warning
	FaultReload     FaultKind = "reload"      // discovery moves, told by one or more SIGHUP
	FaultSqueeze    FaultKind = "squeeze"     // a pooler runs out of descriptors
	FaultSystemCall FaultKind = "system_call" // a system call of a pooler fails
	FaultHang       FaultKind = "hang"        // a server hangs
	FaultSlow       FaultKind = "slow"        // a server is slow
	FaultReset      FaultKind = "reset"       // connections to a server are reset
	FaultResetIdle  FaultKind = "reset_idle"  // its idle ones
	FaultServerDown FaultKind = "server_down" // a server refuses connections for a while
	FaultDrain      FaultKind = "drain"       // a replica drains, leaves and is replaced
	FaultDirectory  FaultKind = "directory"   // discovery is down
	FaultSilence    FaultKind = "silence"     // all watches fall silent
	FaultCrowd      FaultKind = "crowd"       // idle clients take a pooler's descriptors
	FaultBurst      FaultKind = "burst"       // clients ask without a pause
	FaultHalfWay    FaultKind = "half_way"    // clients stop half way through a request
)

// Fault is one fault of a plan.
type Fault struct {
	At     time.Duration
	Kind   FaultKind
	Target int           // which pooler or server
	Span   time.Duration // how long it lasts
	Detail string        // of a system call: call, error and which calls
	Count  int
}

// String says what the fault is.
func (f Fault) String() string {
	return fmt.Sprintf("%.2fs %s target=%d span=%v count=%d %s", f.At.Seconds(), f.Kind, f.Target, f.Span.Round(time.Millisecond), f.Count, f.Detail)
}

// weights say how often a kind is drawn.
var weights = []struct {
	kind   FaultKind
	weight int
	most   time.Duration // of its span
}{
	{FaultStand, 12, 150 * time.Millisecond},
	{FaultRestart, 6, time.Second},
	{FaultHungDrain, 1, 4 * time.Second},
	{FaultCrash, 4, 1500 * time.Millisecond},
	{FaultReload, 6, 0},
	{FaultSqueeze, 8, 2 * time.Second},
	{FaultSystemCall, 20, 2 * time.Second},
	{FaultHang, 5, 2 * time.Second},
	{FaultSlow, 4, 4 * time.Second},
	{FaultReset, 8, 0},
	{FaultResetIdle, 4, 0},
	{FaultServerDown, 4, 2 * time.Second},
	{FaultDrain, 4, 3 * time.Second},
	{FaultDirectory, 2, 6 * time.Second},
	{FaultSilence, 2, 0},
	{FaultCrowd, 2, 3 * time.Second},
	{FaultBurst, 3, time.Second},
	{FaultHalfWay, 5, 0},
}

// The calls that wait for events: the pooler's loop makes the first, Go's runtime the second. A strace that lets go while it has a call
// fail leaves that with ENOSYS, which Linux never answers; Go's runtime ends the process on it. So the runtime's call is made to fail
// a few times only, and not up to the moment at which strace lets go.
const (
	pollCalls    = "epoll_wait,epoll_pwait"
	loopPollCall = "epoll_wait"
)

// systemCalls are the calls of a pooler that serves, with errors that Linux documents for them and that pass.
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

// faultGap is the mean time between two faults.
const faultGap = 350 * time.Millisecond

// warmUp is the time before the first fault.
const warmUp = time.Second

// Plan draws the faults of a run. The same seed gives the same plan.
func Plan(rng *rand.Rand, length time.Duration, poolers, servers int) []Fault {
	var plan []Fault
	sum := 0
	for _, w := range weights {
		sum += w.weight
	}
	for at := warmUp; ; {
		at += time.Duration(rng.ExpFloat64() * float64(faultGap))
		if at >= length {
			return plan
		}
		x := rng.IntN(sum)
		for _, w := range weights {
			if x -= w.weight; x >= 0 {
				continue
			}
			f := Fault{At: at, Kind: w.kind, Target: rng.IntN(poolers * servers), Count: 1 + rng.IntN(5),
				Span: time.Duration((0.05 + 0.95*rng.Float64()) * float64(w.most))}
			if w.kind == FaultSystemCall {
				f.Detail = drawSystemCall(rng)
			}
			plan = append(plan, f)
			break
		}
	}
}

// drawSystemCall names a call, an error and which calls fail: the first, the first few, or all.
func drawSystemCall(rng *rand.Rand) string {
	s := systemCalls[rng.IntN(len(systemCalls))]
	when := []string{"1", "1..3", "1+"}[rng.IntN(3)]
	if when == "1+" && s.call == pollCalls {
		s.call = loopPollCall
	}
	return s.call + " " + s.errnos[rng.IntN(len(s.errnos))] + " " + when
}

// series are the signals that follow a SIGTERM.
var series = [][]syscall.Signal{
	nil,
	{syscall.SIGTERM},
	{syscall.SIGHUP},
	{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP},
	{syscall.SIGINT},
}
