package loop

import (
	"errors"

	"golang.org/x/sys/unix"

	"beechgrade/internal/metrics"
)

// What each failing system call leads to. "pause" is a new try after 5 ms, doubled up to 50 ms. Every failure is counted as
// call.ERRNO and logged, once a second for each kind.
//
//	call                  error                                       what happens                         test
//	accept4               EAGAIN                                      wait for the poller                  -
//	accept4               EINTR, ECONNABORTED, EPROTO, network        next connection, pause if it lasts   TestAcceptFails
//	accept4               EMFILE, ENFILE                              idle connections make room, pause    TestAcceptFails
//	accept4               ENOBUFS, ENOMEM, EPERM, any other           pause                                TestAcceptFails
//	read, write           EAGAIN                                      wait for the poller                  -
//	read, write           EINTR                                       again at once, pause if it lasts     TestReadAndWriteFail
//	read, write           ECONNRESET, EPIPE, ENOTCONN, EBADF, ...     the connection has ended             TestReadAndWriteFail
//	read, write           ENOBUFS, ENOMEM, ETIMEDOUT, any other       pause; the end if it lasts 5 s       TestReadAndWriteFail
//	read, write           short                                       the rest follows                     TestShortReadsAndWrites
//	epoll_ctl             any                                         reads and writes without the poller  TestPollerRefuses
//	epoll_wait            EINTR                                       again at once, pause if it lasts     TestPollerFails
//	epoll_wait            any other                                   pause, and each connection is read   TestPollerFails
//	                                                                  and written without the poller
//	write to the eventfd  any                                         again until it succeeds              TestWakeFails
//	socket, connect       EMFILE, ENFILE, ENOBUFS, ENOMEM,            a local DialError: tells nothing     TestDialFails
//	                      EADDRNOTAVAIL, EAGAIN                       of the other side
//	connect               EINTR                                       once more                            TestDialFails
//	connect               any other                                   a DialError                          TestDialFails
//	getsockopt(SO_ERROR)  any                                         three tries, then a local DialError  TestDialFails
//	setsockopt            any                                         goes on without the option           TestDialFails
//	recvfrom (peek)       EINTR, ENOBUFS, ENOMEM                      NoPendingInput: three tries, false   TestQuietInterrupted
//	shutdown              any                                         told to the caller, who closes       -
//	close                 any                                         nothing: Linux has freed it          -
//	bind, listen, ...     any, at the start                           new tries for 5 s, then status 1     TestListenFails
//
// All of it is tried on a real process as well, by TestTransientSystemCalls in cmd/beechgrade.

// verdict is what a failed call means for the descriptor that it was made on.
type verdict int

const (
	wait   verdict = iota // it is not ready: the poller will tell
	repeat                // the call was interrupted
	pause                 // the system is short of something, or the error says nothing of the descriptor for good
	broken                // the connection has ended
)

// judge reads the error of a read or write on a connection. An error that ends a connection for good but is not named
// here is met by the next call: that reads the end of the stream, or fails with EPIPE.
func judge(err error) verdict {
	var no unix.Errno
	if !errors.As(err, &no) {
		return broken
	}
	switch no {
	case unix.EAGAIN:
		return wait
	case unix.EINTR:
		return repeat
	case unix.ECONNRESET, unix.EPIPE, unix.ENOTCONN, unix.ECONNABORTED, unix.ECONNREFUSED, unix.ESHUTDOWN,
		unix.EBADF, unix.ENOTSOCK, unix.EINVAL, unix.EFAULT:
		return broken
	}
	return pause
}

// outOfDescriptors tells whether the process or the machine has no descriptor left.
func outOfDescriptors(err error) bool {
	return errors.Is(err, unix.EMFILE) || errors.Is(err, unix.ENFILE)
}

// local tells whether a failed connection says nothing of the other side: something is short on this machine.
func local(err error) bool {
	for _, no := range []unix.Errno{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EADDRNOTAVAIL, unix.EAGAIN, unix.EINTR} {
		if errors.Is(err, no) {
			return true
		}
	}
	return false
}

const (
	firstPauseMs = 5    // after a call that failed, until it is tried again
	maxPauseMs   = 50   // ...in the end
	enduringMs   = 5000 // errors that last so long are not transient
	fewRepeats   = 3    // tries at once of a call that was interrupted
)

// backoff spaces out the tries of a call that keeps failing.
type backoff struct {
	pauseMs float64
	sinceMs float64 // the first failure of a series, 0 for none
}

// next is the pause after a failure now.
func (b *backoff) next(now float64) float64 {
	if b.sinceMs == 0 {
		b.sinceMs, b.pauseMs = now, firstPauseMs
		return b.pauseMs
	}
	b.pauseMs = min(2*b.pauseMs, maxPauseMs)
	return b.pauseMs
}

// enduring tells whether the series has lasted for so long that it will not pass.
func (b *backoff) enduring(now float64) bool { return b.sinceMs != 0 && now-b.sinceMs >= enduringMs }

// reset ends a series: the call has succeeded.
func (b *backoff) reset() { *b = backoff{} }

// errnoName is the name of the system's error in err, such as EMFILE.
func errnoName(err error) string {
	var no unix.Errno
	if errors.As(err, &no) {
		return unix.ErrnoName(no)
	}
	return err.Error()
}

// sayMs is the time between two log lines on one kind of failure.
const sayMs = 1000

// failed counts a failed call and logs it, once a second for each kind.
func (l *Loop) failed(call string, err error) {
	name := errnoName(err)
	key := call + "." + name
	l.metrics.Add(metrics.SyscallErrors, key)
	now := l.Now()
	if last, said := l.said[key]; said && now-last < sayMs {
		return
	}
	l.said[key] = now
	l.log.Warn("system call failed", "call", call, "err", name, "count", l.metrics.Value(metrics.SyscallErrors, key))
}
