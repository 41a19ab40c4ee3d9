package loop

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// kernel holds the system calls that the loop makes. Tests replace some of them to inject errors.
type kernel struct {
	socket      func(domain, kind, protocol int) (int, error)
	setsockopt  func(fd, level, option, value int) error
	getsockopt  func(fd, level, option int) (int, error)
	getsockname func(fd int) (syscall.Sockaddr, error)
	getpeername func(fd int) (syscall.Sockaddr, error)
	bind        func(fd int, addr unix.Sockaddr) error
	listen      func(fd, backlog int) error
	accept4     func(fd, flags int) (int, syscall.Sockaddr, error)
	connect     func(fd int, addr unix.Sockaddr) error
	read        func(fd int, b []byte) (int, error)
	write       func(fd int, b []byte) (int, error)
	recvfrom    func(fd int, b []byte, flags int) (int, unix.Sockaddr, error)
	shutdown    func(fd, how int) error
	poll        func(fds []unix.PollFd, ms int) (int, error)
	closeFD     func(fd int) error
	epollCreate func(flags int) (int, error)
	epollCtl    func(epfd, op, fd int, event *unix.EpollEvent) error
	epollWait   func(epfd int, events []unix.EpollEvent, ms int) (int, error)
	eventfd     func(value uint, flags int) (int, error)
}

// linuxKernel returns the real system calls. Those that return an address come from package syscall, because the functions of
// package unix also call getsockopt for the protocol of the socket, and close an accepted connection if that call fails.
func linuxKernel() *kernel {
	return &kernel{
		socket:      unix.Socket,
		setsockopt:  unix.SetsockoptInt,
		getsockopt:  unix.GetsockoptInt,
		getsockname: syscall.Getsockname,
		getpeername: syscall.Getpeername,
		bind:        unix.Bind,
		listen:      unix.Listen,
		accept4:     syscall.Accept4,
		connect:     unix.Connect,
		read:        unix.Read,
		write:       unix.Write,
		recvfrom:    unix.Recvfrom,
		shutdown:    unix.Shutdown,
		poll:        unix.Poll,
		closeFD:     unix.Close,
		epollCreate: unix.EpollCreate1,
		epollCtl:    unix.EpollCtl,
		epollWait:   unix.EpollWait,
		eventfd:     unix.Eventfd,
	}
}
