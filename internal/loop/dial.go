package loop

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"

	"golang.org/x/sys/unix"

	"beechgrade/internal/clock"
	"beechgrade/internal/deadline"
	"beechgrade/internal/metrics"
)

// DialError is the reason why Dial could not establish a connection.
type DialError struct {
	Call  string // the system call that failed, or "resolve"
	Local bool   // the cause is on this machine, so the error is no evidence against the remote side
	Err   error
}

// Error returns a message that names the failed call.
func (e *DialError) Error() string { return "dial: " + e.Call + ": " + e.Err.Error() }

// Unwrap returns the error of the failed call.
func (e *DialError) Unwrap() error { return e.Err }

// IsLocal reports whether an error of Dial has its cause on this machine and is no evidence against the remote side.
func IsLocal(err error) bool {
	var d *DialError
	return errors.As(err, &d) && d.Local
}

// pendingDial holds what a connection needs until it is established.
type pendingDial struct {
	remote    unix.Sockaddr
	onFailure func(error)
	timer     *deadline.Timer
}

// Dial starts to connect to addr and returns without waiting. Afterwards the loop calls either handler.Opened or onFailure, never
// before Dial has returned.
func (l *Loop) Dial(addr string, timeoutMs float64, handler Handler, onFailure func(error)) {
	deadlineMs := l.Now() + timeoutMs
	sa, family, err := sockaddrOf(addr)
	if err == nil {
		l.connect(sa, family, deadlineMs, handler, onFailure)
		return
	}
	go func() { // addr holds a host name, and resolving it may block
		ctx, cancel := context.WithTimeout(context.Background(), clock.Duration(timeoutMs))
		defer cancel()
		resolved, err := resolve(ctx, addr)
		l.Post(func() {
			if err != nil {
				onFailure(&DialError{Call: "resolve", Err: err})
				return
			}
			if sa, family, err = sockaddrOf(resolved); err != nil {
				onFailure(&DialError{Call: "resolve", Err: err})
				return
			}
			l.connect(sa, family, deadlineMs, handler, onFailure)
		})
	}()
}

// resolve replaces the host name in addr, a "host:port", by its first IPv4 address.
func resolve(ctx context.Context, addr string) (string, error) {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return "", err
	}
	ips, err := net.DefaultResolver.LookupNetIP(ctx, "ip4", host)
	if err != nil {
		return "", err
	}
	if len(ips) == 0 {
		return "", fmt.Errorf("%s: no IPv4 address found", host)
	}
	return net.JoinHostPort(ips[0].Unmap().String(), port), nil
}

// connect starts a connection to a socket address. It fails with ETIMEDOUT if it is not established by deadlineMs.
func (l *Loop) connect(remote unix.Sockaddr, family int, deadlineMs float64, handler Handler, onFailure func(error)) {
	l.metrics.Add(metrics.Connections, "dialled")
	fd, err := l.kernel.socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if outOfDescriptors(err) && l.OnDescriptorsExhausted != nil && l.OnDescriptorsExhausted() {
		fd, err = l.kernel.socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	}
	if err != nil {
		l.recordFailure("socket", err)
		l.Post(func() { onFailure(&DialError{"socket", isLocalError(err), err}) })
		return
	}
	if err := l.kernel.setsockopt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1); err != nil {
		l.recordFailure("setsockopt", err) // without TCP_NODELAY queries are still sent, but some are delayed
	}
	c := l.newConn(fd, handler)
	c.dial = pendingDial{remote: remote, onFailure: onFailure}
	if err = l.kernel.connect(fd, remote); errors.Is(err, unix.EINTR) { // it continues in the background, or has not begun
		l.recordFailure("connect", err)
		err = l.kernel.connect(fd, remote)
	}
	if err != nil && !errors.Is(err, unix.EINPROGRESS) && !errors.Is(err, unix.EALREADY) && !errors.Is(err, unix.EISCONN) {
		l.recordFailure("connect", err)
		l.Post(func() { c.failDial("connect", err) })
		return
	}
	c.dial.timer = l.At(deadlineMs, func() { c.failDial("connect", unix.ETIMEDOUT) })
	c.updateInterest()
}

// failDial closes a connection that is not established and reports the error to the caller of Dial.
func (c *Conn) failDial(call string, err error) {
	if c.state != stateConnecting {
		return
	}
	c.finish(err)
	c.dial.onFailure(&DialError{call, isLocalError(err), err})
}

// completeDial opens a connection that has been established, and reports one that has failed. polled is true if the poller has
// reported the outcome; otherwise the connect may still be in progress.
func (c *Conn) completeDial(polled bool) {
	status, call, err := c.connectStatus(polled)
	if err != nil {
		c.loop.recordFailure(call, err)
		c.failDial(call, err)
		return
	}
	if status == unix.EINPROGRESS {
		c.updateInterest()
		return
	}
	if status == 0 && c.isSelfConnect() {
		status = unix.ECONNREFUSED
	}
	if status != 0 {
		c.failDial("connect", status)
		return
	}
	c.loop.StopTimer(c.dial.timer)
	c.state = stateOpen
	c.backoff.reset()
	c.updateInterest()
	c.handler.Opened(c)
}

// connectStatus returns the outcome of the connect: 0 if the connection is established, EINPROGRESS if the connect is still in
// progress, and otherwise the errno with which it failed. If a system call fails, it returns its name and its error.
func (c *Conn) connectStatus(polled bool) (status unix.Errno, call string, err error) {
	var soError int
	for range immediateTries {
		if soError, err = c.loop.kernel.getsockopt(c.fd, unix.SOL_SOCKET, unix.SO_ERROR); err == nil {
			break
		}
		c.loop.recordFailure("getsockopt", err)
	}
	if err != nil || soError != 0 {
		return unix.Errno(soError), "getsockopt", err
	}
	// SO_ERROR is 0 also while the connect is in progress. Only an established connection has a peer address.
	if !polled {
		if _, err := c.loop.kernel.getpeername(c.fd); errors.Is(err, unix.ENOTCONN) {
			return unix.EINPROGRESS, "", nil
		}
	}
	return 0, "", nil
}

// isSelfConnect reports whether the socket is connected to itself. That happens if nobody listens on the remote port and the
// system picks the same port as the local, ephemeral one.
func (c *Conn) isSelfConnect() bool {
	local, err := c.loop.kernel.getsockname(c.fd)
	if err != nil {
		return false
	}
	switch own := local.(type) {
	case *syscall.SockaddrInet4:
		remote, ok := c.dial.remote.(*unix.SockaddrInet4)
		return ok && own.Port == remote.Port && own.Addr == remote.Addr
	case *syscall.SockaddrInet6:
		remote, ok := c.dial.remote.(*unix.SockaddrInet6)
		return ok && own.Port == remote.Port && own.Addr == remote.Addr
	}
	return false
}
