package loop

import (
	"errors"

	"golang.org/x/sys/unix"

	"beechgrade/internal/metrics"
)

// The table shows how the loop handles each failing system call. "pause" means that the call is retried after 5 ms, and that
// this pause doubles with each further failure up to 50 ms. Every failure is counted under "call.ERRNO" and logged at most once
// a second for each such key.
//
//	call                  error                                   effect                               test
//	accept4               EAGAIN                                  wait for the poller                  -
//	accept4               EINTR, ECONNABORTED, EPROTO, network    accept the next one; pause after     TestAcceptFails
//	                                                              the third failure
//	accept4               EMFILE, ENFILE                          close idle connections, or pause     TestAcceptFails
//	accept4               ENOBUFS, ENOMEM, EPERM, any other       pause                                TestAcceptFails
//	read, write           EAGAIN                                  wait for the poller                  -
//	read, write           EINTR                                   retry at once; pause if it lasts     TestReadAndWriteFail
//	read, write           ECONNRESET, EPIPE, ENOTCONN, EBADF, ... close the connection                 TestReadAndWriteFail
//	read, write           ENOBUFS, ENOMEM, ETIMEDOUT, any other   pause; close if it lasts 5 s         TestReadAndWriteFail
//	read, write           short                                   transfer the rest later              TestShortReadsAndWrites
//	epoll_ctl             any                                     read and write without the poller    TestPollerRejectsDescriptors
//	epoll_wait            EINTR                                   retry at once; pause if it lasts     TestPollerFails
//	epoll_wait            any other                               pause, then read and write every     TestPollerFails
//	                                                              connection without the poller
//	write to the eventfd  any                                     retry until it succeeds              TestWakeFails
//	socket, connect       EMFILE, ENFILE, ENOBUFS, ENOMEM,        report a local DialError, which says TestDialFails
//	                      EADDRNOTAVAIL, EAGAIN                   nothing about the remote side
//	connect               EINTR                                   retry once                           TestDialFails
//	connect               any other                               report a DialError                   TestDialFails
//	getsockopt(SO_ERROR)  any                                     try three times, then report a       TestDialFails
//	                                                              DialError, local as for connect
//	setsockopt            any                                     continue without the option          TestDialFails
//	recvfrom (peek)       EINTR, ENOBUFS, ENOMEM                  try three times, then NoPendingInput TestNoPendingInputInterrupted
//	                                                              returns false
//	poll                  any                                     try three times, then PeerClosed     TestPeerClosedBehindUnreadInput
//	                                                              returns false
//	shutdown              any                                     return the error to the caller,      -
//	                                                              which closes the connection
//	close                 any                                     ignore: Linux has freed the          -
//	                                                              descriptor
//	bind, listen, ...     any, at startup                         retry for 5 s, then exit with        TestListenFails
//	                                                              status 1
//
// TestTransientSystemCalls in cmd/beechgrade injects transient errors into the system calls of a real process.

// ioAction is what the loop does after a failed read or write on a connection.
type ioAction int

const (
	waitForPoller   ioAction = iota // the descriptor is not ready: wait until the poller reports it
	retryAtOnce                     // the call was interrupted by a signal
	retryAfterPause                 // the system lacks a resource, or the error does not show that the connection has ended
	connectionEnded                 // the connection has ended
)

// ioActionFor returns the action for an error of a read or write on a connection. If the connection has ended but the error is
// not listed here, the next call shows it: a read returns the end of the stream, and a write fails with EPIPE.
func ioActionFor(err error) ioAction {
	var errno unix.Errno
	if !errors.As(err, &errno) {
		return connectionEnded
	}
	switch errno {
	case unix.EAGAIN:
		return waitForPoller
	case unix.EINTR:
		return retryAtOnce
	case unix.ECONNRESET, unix.EPIPE, unix.ENOTCONN, unix.ECONNABORTED, unix.ECONNREFUSED, unix.ESHUTDOWN,
		unix.EBADF, unix.ENOTSOCK, unix.EINVAL, unix.EFAULT:
		return connectionEnded
	}
	return retryAfterPause
}

// outOfDescriptors reports whether err means that the process or the machine has no free file descriptor.
func outOfDescriptors(err error) bool {
	return errors.Is(err, unix.EMFILE) || errors.Is(err, unix.ENFILE)
}

// isLocalError reports whether a connect failed because of a condition on this machine, such as an exhausted resource. Such an
// error says nothing about the remote side.
func isLocalError(err error) bool {
	for _, errno := range []unix.Errno{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EADDRNOTAVAIL, unix.EAGAIN,
		unix.EINTR} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

const (
	// firstRetryPauseMs is the pause in milliseconds between the first failure of a call and the next try.
	firstRetryPauseMs = 5
	// maxRetryPauseMs is the longest pause in milliseconds between two tries.
	maxRetryPauseMs = 50
	// persistentFailureMs is the time in milliseconds after which a series of failures no longer counts as transient.
	persistentFailureMs = 5000
	// immediateTries is how often a call is tried without a pause. An interrupted read or write is repeated this often.
	immediateTries = 3
)

// backoff computes the pauses between retries of a call that keeps failing.
type backoff struct {
	pauseMs        float64
	firstFailureMs float64 // time of the first failure in the current series, 0 if there is none
}

// nextPause records a failure at the time now and returns the pause before the next try, in milliseconds.
func (b *backoff) nextPause(now float64) float64 {
	if b.firstFailureMs == 0 {
		b.firstFailureMs, b.pauseMs = now, firstRetryPauseMs
		return b.pauseMs
	}
	b.pauseMs = min(2*b.pauseMs, maxRetryPauseMs)
	return b.pauseMs
}

// persistent reports whether the calls have been failing for so long that the error is not transient.
func (b *backoff) persistent(now float64) bool {
	return b.firstFailureMs != 0 && now-b.firstFailureMs >= persistentFailureMs
}

// reset ends the series of failures after a call that succeeded.
func (b *backoff) reset() { *b = backoff{} }

// errnoName returns the symbolic name of the errno in err, such as EMFILE, or the text of err if it holds none.
func errnoName(err error) string {
	var errno unix.Errno
	if errors.As(err, &errno) {
		return unix.ErrnoName(errno)
	}
	return err.Error()
}

// failureLogIntervalMs is the minimum time in milliseconds between two log lines about the same call and errno.
const failureLogIntervalMs = 1000

// recordFailure counts a failed system call and logs it, at most once a second for each call and errno.
func (l *Loop) recordFailure(call string, err error) {
	name := errnoName(err)
	key := call + "." + name
	l.metrics.Add(metrics.SyscallErrors, key)
	now := l.Now()
	if last, logged := l.lastLoggedMs[key]; logged && now-last < failureLogIntervalMs {
		return
	}
	l.lastLoggedMs[key] = now
	l.log.Warn("system call failed", "call", call, "err", name, "count", l.metrics.Value(metrics.SyscallErrors, key))
}
