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

// backlog is how many connections may wait to be accepted; the system may allow fewer.
const backlog = 4096

// errAddress says that an address cannot be read, which no new try changes.
var errAddress = errors.New("not an address")

// listener accepts connections. One that cannot be accepted now stays in the system's queue and is accepted later.
type listener struct {
	fd     int
	addr   string
	tries  backoff
	paused bool // accepting has failed and is tried again after a pause
	hushed bool // the poller does not tell of it meanwhile
	closed bool
}

// open listens on addr, unless another does.
func (n *listener) open(l *Loop, addr string) error {
	fd, err := listenOn(l.kernel, addr)
	if err != nil {
		return err
	}
	if err = l.poller.add(fd, listenRef, unix.EPOLLIN); err != nil {
		_ = l.kernel.closeFD(fd)
		return fmt.Errorf("epoll_ctl: %w", err)
	}
	n.fd = fd
	if sa, err := l.kernel.getsockname(fd); err == nil {
		addr = sockAddr(sa)
	}
	n.addr = addr
	return nil
}

// listenOn makes a socket that listens on addr. An address on which another listens is refused (EADDRINUSE); one whose
// connections are only closing still is taken.
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
	// Accepted sockets inherit it: an answer must not wait for the acknowledgement of the one before.
	_ = k.setsockopt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	return fd, nil
}

// sockaddrOf reads an address and port as the system takes them.
func sockaddrOf(addr string) (sa unix.Sockaddr, family int, err error) {
	to, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, 0, fmt.Errorf("%w: %w", errAddress, err)
	}
	if ip := to.Addr().Unmap(); ip.Is4() {
		return &unix.SockaddrInet4{Port: int(to.Port()), Addr: ip.As4()}, unix.AF_INET, nil
	}
	return &unix.SockaddrInet6{Port: int(to.Port()), Addr: to.Addr().As16()}, unix.AF_INET6, nil
}

func sockAddr(sa syscall.Sockaddr) string {
	switch a := sa.(type) {
	case *syscall.SockaddrInet4:
		return (&net.TCPAddr{IP: a.Addr[:], Port: a.Port}).String()
	case *syscall.SockaddrInet6:
		return (&net.TCPAddr{IP: a.Addr[:], Port: a.Port}).String()
	}
	return ""
}

// ready accepts one connection; the poller tells again of those that are left. After a failure it goes on until none is left, so
// that every one is known to have waited since then at the earliest.
func (n *listener) ready(l *Loop) {
	for repeats := 0; !n.paused && !n.closed; {
		fd, _, err := l.kernel.accept4(n.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		if err == nil {
			l.accepted(fd, n.tries.sinceMs)
			if n.tries.sinceMs == 0 {
				return
			}
			continue
		}
		if errors.Is(err, unix.EAGAIN) {
			n.tries.reset()
			return
		}
		l.failed("accept4", err)
		pauseMs := n.tries.next(l.Now())
		roomMade := outOfDescriptors(err) && l.OnDescriptorsExhausted != nil && l.OnDescriptorsExhausted()
		if repeats++; repeats < fewRepeats && (roomMade || ofTheNewConnection(err)) {
			continue
		}
		n.pause(l, pauseMs)
	}
}

// ofTheNewConnection tells whether accept failed because of the one connection that it took from the queue, as Linux
// passes on the errors that are pending on that.
func ofTheNewConnection(err error) bool {
	for _, no := range []unix.Errno{unix.EINTR, unix.ECONNABORTED, unix.ECONNRESET, unix.EPROTO, unix.ENETDOWN, unix.ENOPROTOOPT,
		unix.EHOSTDOWN, unix.ENONET, unix.EHOSTUNREACH, unix.EOPNOTSUPP, unix.ENETUNREACH} {
		if errors.Is(err, no) {
			return true
		}
	}
	return false
}

// pause stops accepting for a while.
func (n *listener) pause(l *Loop, ms float64) {
	n.paused = true
	if !n.hushed {
		err := l.poller.modify(n.fd, listenRef, 0)
		if n.hushed = err == nil; err != nil { // the poller tells again and again meanwhile, which only costs time
			l.failed("epoll_ctl", err)
		}
	}
	l.At(l.Now()+ms, func() { n.resume(l) })
}

// resume accepts again, first by itself, as the poller may not be able to tell of the listener yet.
func (n *listener) resume(l *Loop) {
	if n.closed {
		return
	}
	n.paused = false
	n.ready(l)
	if n.paused || !n.hushed {
		return
	}
	if err := l.poller.modify(n.fd, listenRef, unix.EPOLLIN); err != nil {
		l.failed("epoll_ctl", err)
		n.pause(l, firstPauseMs)
		return
	}
	n.hushed = false
}

// StopListening accepts what waits and has later clients refused, who can then go elsewhere. It tells whether it could.
func (l *Loop) StopListening() bool {
	n := &l.listener
	if n.closed {
		return true
	}
	n.tries.next(l.Now()) // so that it accepts until none is left
	if n.ready(l); n.paused {
		return false
	}
	n.close(l)
	return true
}

func (n *listener) close(l *Loop) {
	if !n.closed {
		n.closed = true
		_ = l.kernel.closeFD(n.fd)
	}
}

// accepted takes a connection over, which may have come at the given time, 0 for only now.
func (l *Loop) accepted(fd int, since float64) {
	l.metrics.Add(metrics.Connections, "accepted")
	c := l.newConn(fd, l.accept())
	c.state, c.lateSince = open, since
	c.watch()
	c.h.Opened(c)
}
