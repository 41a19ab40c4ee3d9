package loop

import (
	"fmt"

	"golang.org/x/sys/unix"

	"beechgrade/internal/slots"
)

// References for the descriptors that are not connections and thus have no slot in the table of connections.
var (
	wakeRef   = slots.Ref{Index: 1<<31 - 1}
	listenRef = slots.Ref{Index: 1<<31 - 2}
)

// maxEventsPerWait is the largest number of events that one wait returns.
const maxEventsPerWait = 256

// poller wraps level-triggered epoll. Each event carries the slot and the generation of its connection. An event that was fetched
// before its connection was closed is therefore never delivered to a later connection that reuses the descriptor or the slot.
type poller struct {
	kernel *kernel
	fd     int
	wakeFD int
	events []unix.EpollEvent
}

// openPoller creates a poller and registers an eventfd, through which wake interrupts a wait.
func openPoller(k *kernel) (*poller, error) {
	p := &poller{kernel: k, wakeFD: -1, events: make([]unix.EpollEvent, maxEventsPerWait)}
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

// add registers fd for the given events, which are reported with ref.
func (p *poller) add(fd int, ref slots.Ref, events uint32) error {
	return p.kernel.epollCtl(p.fd, unix.EPOLL_CTL_ADD, fd, newEvent(ref, events))
}

// modify changes the events that are reported for fd.
func (p *poller) modify(fd int, ref slots.Ref, events uint32) error {
	return p.kernel.epollCtl(p.fd, unix.EPOLL_CTL_MOD, fd, newEvent(ref, events))
}

func newEvent(ref slots.Ref, events uint32) *unix.EpollEvent {
	return &unix.EpollEvent{Events: events, Fd: int32(ref.Index), Pad: int32(ref.Generation)}
}

// eventRef returns the reference that an event carries.
func eventRef(e *unix.EpollEvent) slots.Ref {
	return slots.Ref{Index: uint32(e.Fd), Generation: uint32(e.Pad)}
}

// wait waits for events, for at most ms milliseconds, or without limit if ms is -1.
func (p *poller) wait(ms int) ([]unix.EpollEvent, error) {
	n, err := p.kernel.epollWait(p.fd, p.events, ms)
	if err != nil {
		return nil, err
	}
	return p.events[:n], nil
}

// wake makes the current or the next wait return. It may be called from any goroutine.
func (p *poller) wake() error {
	_, err := p.kernel.write(p.wakeFD, []byte{1, 0, 0, 0, 0, 0, 0, 0})
	if err == unix.EAGAIN { // the counter of the eventfd is at its maximum, so a wake-up is pending
		return nil
	}
	return err
}

// resetWake resets the eventfd, so that it no longer interrupts waits.
func (p *poller) resetWake() error {
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
