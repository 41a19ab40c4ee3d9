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

// DialError says why a connection did not come up.
type DialError struct {
	Call  string // the system call that failed
	Local bool   // something is short on this machine: it tells nothing of the other side
	Err   error
}

// Error is error's.
func (e *DialError) Error() string { return "dial: " + e.Call + ": " + e.Err.Error() }

// Unwrap gives the system's error.
func (e *DialError) Unwrap() error { return e.Err }

// IsLocal tells whether an error of Dial says nothing of the other side.
func IsLocal(err error) bool {
	var d *DialError
	return errors.As(err, &d) && d.Local
}

// dialling is what a connection needs while it comes up.
type dialling struct {
	to     unix.Sockaddr
	failed func(error)
	timer  *deadline.Timer
}

// Dial connects to addr without waiting. Later, on the loop, either h is told Opened or failed is called; neither while Dial runs.
func (l *Loop) Dial(addr string, timeoutMs float64, h Handler, failed func(error)) {
	until := l.Now() + timeoutMs
	sa, family, err := sockaddrOf(addr)
	if err == nil {
		l.dial(sa, family, until, h, failed)
		return
	}
	go func() { // a name: finding its address may take a while
		ctx, cancel := context.WithTimeout(context.Background(), clock.Duration(timeoutMs))
		defer cancel()
		resolved, err := resolve(ctx, addr)
		l.Post(func() {
			if err != nil {
				failed(&DialError{Call: "resolve", Err: err})
				return
			}
			if sa, family, err = sockaddrOf(resolved); err != nil {
				failed(&DialError{Call: "resolve", Err: err})
				return
			}
			l.dial(sa, family, until, h, failed)
		})
	}()
}

// resolve finds the address of a host name with a port.
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
		return "", fmt.Errorf("%s: no address", host)
	}
	return net.JoinHostPort(ips[0].Unmap().String(), port), nil
}

// dial connects to an address that is known.
func (l *Loop) dial(to unix.Sockaddr, family int, until float64, h Handler, failed func(error)) {
	l.metrics.Add(metrics.Connections, "dialled")
	fd, err := l.kernel.socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if outOfDescriptors(err) && l.OnDescriptorsExhausted != nil && l.OnDescriptorsExhausted() {
		fd, err = l.kernel.socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	}
	if err != nil {
		l.failed("socket", err)
		l.Post(func() { failed(&DialError{"socket", local(err), err}) })
		return
	}
	if err := l.kernel.setsockopt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1); err != nil {
		l.failed("setsockopt", err) // queries go out all the same, some of them late
	}
	c := l.newConn(fd, h)
	c.dial = dialling{to: to, failed: failed}
	if err = l.kernel.connect(fd, to); errors.Is(err, unix.EINTR) { // it goes on by itself, or has not begun
		l.failed("connect", err)
		err = l.kernel.connect(fd, to)
	}
	if err != nil && !errors.Is(err, unix.EINPROGRESS) && !errors.Is(err, unix.EALREADY) && !errors.Is(err, unix.EISCONN) {
		l.failed("connect", err)
		l.Post(func() { c.abandon("connect", err) })
		return
	}
	c.dial.timer = l.At(until, func() { c.abandon("connect", unix.ETIMEDOUT) })
	c.watch()
}

// abandon ends a connection that has not come up.
func (c *Conn) abandon(call string, err error) {
	if c.state != connecting {
		return
	}
	c.finish(err)
	c.dial.failed(&DialError{call, local(err), err})
}

// connected takes a connection over that has come up, or has failed to. told says that the poller has told so; it may still be under
// way otherwise.
func (c *Conn) connected(told bool) {
	status, call, err := c.connectStatus(told)
	if err != nil {
		c.loop.failed(call, err)
		c.abandon(call, err)
		return
	}
	if status == unix.EINPROGRESS {
		c.watch()
		return
	}
	if status == 0 && c.toItself() {
		status = unix.ECONNREFUSED
	}
	if status != 0 {
		c.abandon("connect", status)
		return
	}
	c.loop.StopTimer(c.dial.timer)
	c.state = open
	c.tries.reset()
	c.watch()
	c.h.Opened(c)
}

// connectStatus asks the system how the connect has ended; EINPROGRESS stands for not yet.
func (c *Conn) connectStatus(told bool) (status unix.Errno, call string, err error) {
	var no int
	for range fewRepeats {
		if no, err = c.loop.kernel.getsockopt(c.fd, unix.SOL_SOCKET, unix.SO_ERROR); err == nil {
			break
		}
		c.loop.failed("getsockopt", err)
	}
	if err != nil || no != 0 {
		return unix.Errno(no), "getsockopt", err
	}
	// No error may also mean that it is still under way. Only a connection has a peer.
	if !told {
		if _, err := c.loop.kernel.getpeername(c.fd); errors.Is(err, unix.ENOTCONN) {
			return unix.EINPROGRESS, "", nil
		}
	}
	return 0, "", nil
}

// toItself tells whether the connection has met itself, as happens where nobody listens on a port that the system also gives
// out to those who connect.
func (c *Conn) toItself() bool {
	own, err := c.loop.kernel.getsockname(c.fd)
	if err != nil {
		return false
	}
	switch own := own.(type) {
	case *syscall.SockaddrInet4:
		to, ok := c.dial.to.(*unix.SockaddrInet4)
		return ok && own.Port == to.Port && own.Addr == to.Addr
	case *syscall.SockaddrInet6:
		to, ok := c.dial.to.(*unix.SockaddrInet6)
		return ok && own.Port == to.Port && own.Addr == to.Addr
	}
	return false
}
