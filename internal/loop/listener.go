package loop

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"syscall"

	"golang.org/x/sys/unix"

	"beechgrade/internal/metrics"
)

// backlog is the requested limit of connections that wait to be accepted. The system may allow fewer.
const backlog = 4096

// errInvalidAddress is returned for an address that cannot be parsed. A retry does not help.
var errInvalidAddress = errors.New("not an IP address with a port")

// listener accepts connections. A connection that cannot be accepted now stays in the system's queue and is accepted later.
type listener struct {
	fd        int
	addr      string
	backoff   backoff
	paused    bool // accept4 has failed and is retried after a pause
	unwatched bool // the poller does not report pending connections during the pause
	closed    bool
}

// open listens on addr and registers the socket with the poller.
func (ln *listener) open(l *Loop, addr string) error {
	fd, err := listenOn(l.kernel, addr)
	if err != nil {
		return err
	}
	if err = l.poller.add(fd, listenRef, unix.EPOLLIN); err != nil {
		_ = l.kernel.closeFD(fd)
		return fmt.Errorf("epoll_ctl: %w", err)
	}
	ln.fd = fd
	if sa, err := l.kernel.getsockname(fd); err == nil {
		addr = formatSockaddr(sa)
	}
	ln.addr = addr
	return nil
}

// listenOn creates a socket that listens on addr. It fails with EADDRINUSE if another socket listens there, but not if only
// earlier connections of that address are still closing.
func listenOn(k *kernel, addr string) (fd int, err error) {
	to, family, err := sockaddrOf(addr)
	if err != nil {
		return 0, err
	}
	if fd, err = k.socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0); err != nil {
		return 0, fmt.Errorf("socket: %w", err)
	}
	if err = k.setsockopt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		err = fmt.Errorf("setsockopt: %w", err)
	} else if err = k.bind(fd, to); err != nil {
		err = fmt.Errorf("bind %s: %w", addr, err)
	} else if err = k.listen(fd, backlog); err != nil {
		err = fmt.Errorf("listen on %s: %w", addr, err)
	}
	if err != nil {
		_ = k.closeFD(fd)
		return 0, err
	}
	// Accepted sockets inherit the option. Without it an answer could wait until the client has acknowledged the previous one.
	_ = k.setsockopt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	return fd, nil
}

// sockaddrOf parses an IP address with a port and returns it as a socket address with its family.
func sockaddrOf(addr string) (sa unix.Sockaddr, family int, err error) {
	to, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, 0, fmt.Errorf("%w: %w", errInvalidAddress, err)
	}
	if ip := to.Addr().Unmap(); ip.Is4() {
		return &unix.SockaddrInet4{Port: int(to.Port()), Addr: ip.As4()}, unix.AF_INET, nil
	}
	return &unix.SockaddrInet6{Port: int(to.Port()), Addr: to.Addr().As16()}, unix.AF_INET6, nil
}

func formatSockaddr(sa syscall.Sockaddr) string {
	switch a := sa.(type) {
	case *syscall.SockaddrInet4:
		return (&net.TCPAddr{IP: a.Addr[:], Port: a.Port}).String()
	case *syscall.SockaddrInet6:
		return (&net.TCPAddr{IP: a.Addr[:], Port: a.Port}).String()
	}
	return ""
}

// maxAcceptsPerPoll is the number of connections that are accepted between two polls.
const maxAcceptsPerPoll = 16

// acceptPending accepts up to maxAcceptsPerPoll connections; the poller reports the remaining ones again. After a failure it
// accepts until the queue is empty: connections accepted until then may have arrived as early as the first failure, those
// accepted later cannot.
func (ln *listener) acceptPending(l *Loop) {
	for accepted, failures := 0, 0; !ln.paused && !ln.closed; {
		fd, _, err := l.kernel.accept4(ln.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		if err == nil {
			l.addAccepted(fd, ln.backoff.firstFailureMs)
			if accepted++; accepted >= maxAcceptsPerPoll && ln.backoff.firstFailureMs == 0 {
				return
			}
			continue
		}
		if errors.Is(err, unix.EAGAIN) {
			ln.backoff.reset()
			return
		}
		l.recordFailure("accept4", err)
		pauseMs := ln.backoff.nextPause(l.Now())
		descriptorsFreed := outOfDescriptors(err) && l.OnDescriptorsExhausted != nil && l.OnDescriptorsExhausted()
		if failures++; failures < immediateTries && (descriptorsFreed || isPendingConnError(err)) {
			continue
		}
		ln.pause(l, pauseMs)
	}
}

// isPendingConnError reports whether accept4 failed because of the connection that it took from the queue: Linux returns the
// errors pending on the new socket as errors of accept4.
func isPendingConnError(err error) bool {
	for _, errno := range []unix.Errno{unix.EINTR, unix.ECONNABORTED, unix.ECONNRESET, unix.EPROTO, unix.ENETDOWN, unix.ENOPROTOOPT,
		unix.EHOSTDOWN, unix.ENONET, unix.EHOSTUNREACH, unix.EOPNOTSUPP, unix.ENETUNREACH} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

// pause stops accepting for a while.
func (ln *listener) pause(l *Loop, ms float64) {
	ln.paused = true
	if !ln.unwatched {
		err := l.poller.modify(ln.fd, listenRef, 0)
		if ln.unwatched = err == nil; err != nil { // the poller keeps reporting the listener, which only costs time
			l.recordFailure("epoll_ctl", err)
		}
	}
	l.At(l.Now()+ms, func() { ln.resume(l) })
}

// resume ends a pause. It accepts before it registers the listener again, because the poller may still refuse the registration.
func (ln *listener) resume(l *Loop) {
	if ln.closed {
		return
	}
	ln.paused = false
	ln.acceptPending(l)
	if ln.paused || !ln.unwatched {
		return
	}
	if err := l.poller.modify(ln.fd, listenRef, unix.EPOLLIN); err != nil {
		l.recordFailure("epoll_ctl", err)
		ln.pause(l, firstRetryPauseMs)
		return
	}
	ln.unwatched = false
}

// StopListening accepts the waiting connections and closes the listening socket, so that later clients are refused and can
// connect to another pooler. It reports whether it succeeded; it does not while accepting is paused after a failure.
func (l *Loop) StopListening() bool {
	ln := &l.listener
	if ln.closed {
		return true
	}
	ln.backoff.nextPause(l.Now()) // counts as a failure, so that acceptPending empties the queue
	if ln.acceptPending(l); ln.paused {
		return false
	}
	ln.close(l)
	return true
}

func (ln *listener) close(l *Loop) {
	if !ln.closed {
		ln.closed = true
		_ = l.kernel.closeFD(ln.fd)
	}
}

// addAccepted opens an accepted connection. earliestArrivalMs is the earliest time at which it may have arrived, 0 for now.
func (l *Loop) addAccepted(fd int, earliestArrivalMs float64) {
	l.metrics.Add(metrics.Connections, "accepted")
	c := l.newConn(fd, l.newHandler())
	c.state, c.accepted, c.earliestArrivalMs = stateOpen, true, earliestArrivalMs
	c.updateInterest()
	c.handler.Opened(c)
}
