package loop

import (
	"fmt"

	"golang.org/x/sys/unix"

	"beechgrade/internal/slots"
)

// Names of the descriptors that are no connections, in place of a connection's slot.
var (
	wakeRef   = slots.Ref{Index: 1<<31 - 1}
	listenRef = slots.Ref{Index: 1<<31 - 2}
)

// eventsAtOnce is how many events one wait brings at most.
const eventsAtOnce = 256

// poller wraps epoll, level-triggered. An event names the slot of its connection with its generation, so that one that was
// already fetched for a closed connection never meets the next one with the same descriptor.
type poller struct {
	kernel *kernel
	fd     int
	wakeFD int
	events []unix.EpollEvent
}

// openPoller makes a poller that can be woken.
func openPoller(k *kernel) (*poller, error) {
	p := &poller{kernel: k, wakeFD: -1, events: make([]unix.EpollEvent, eventsAtOnce)}
	var err error
	if p.fd, err = k.epollCreate(unix.EPOLL_CLOEXEC); err != nil {
		return nil, fmt.Errorf("epoll_create1: %w", err)
	}
	if p.wakeFD, err = k.eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC); err != nil {
		p.close()
		return nil, fmt.Errorf("eventfd2: %w", err)
	}
	if err = p.add(p.wakeFD, wakeRef, unix.EPOLLIN); err != nil {
		p.close()
		return nil, fmt.Errorf("epoll_ctl: %w", err)
	}
	return p, nil
}

// add has events on a descriptor told under a name.
func (p *poller) add(fd int, ref slots.Ref, events uint32) error {
	return p.kernel.epollCtl(p.fd, unix.EPOLL_CTL_ADD, fd, event(ref, events))
}

// modify changes which events on a descriptor are told.
func (p *poller) modify(fd int, ref slots.Ref, events uint32) error {
	return p.kernel.epollCtl(p.fd, unix.EPOLL_CTL_MOD, fd, event(ref, events))
}

func event(ref slots.Ref, events uint32) *unix.EpollEvent {
	return &unix.EpollEvent{Events: events, Fd: int32(ref.Index), Pad: int32(ref.Generation)}
}

// refOf reads an event's name.
func refOf(e *unix.EpollEvent) slots.Ref {
	return slots.Ref{Index: uint32(e.Fd), Generation: uint32(e.Pad)}
}

// wait waits for events, for so many milliseconds at most, -1 for without end.
func (p *poller) wait(ms int) ([]unix.EpollEvent, error) {
	n, err := p.kernel.epollWait(p.fd, p.events, ms)
	if err != nil {
		return nil, err
	}
	return p.events[:n], nil
}

// wake has a wait return. It may be called from any goroutine.
func (p *poller) wake() error {
	_, err := p.kernel.write(p.wakeFD, []byte{1, 0, 0, 0, 0, 0, 0, 0})
	if err == unix.EAGAIN { // it has been woken more often than can be counted
		return nil
	}
	return err
}

// woken takes back what wake did.
func (p *poller) woken() error {
	var b [8]byte
	_, err := p.kernel.read(p.wakeFD, b[:])
	if err == unix.EAGAIN {
		return nil
	}
	return err
}

func (p *poller) close() {
	if p.wakeFD >= 0 {
		_ = p.kernel.closeFD(p.wakeFD)
	}
	_ = p.kernel.closeFD(p.fd)
}
