package loop

import (
	"errors"
	"fmt"
	"io"
	"net"

	"golang.org/x/sys/unix"

	"beechgrade/internal/deadline"
	"beechgrade/internal/metrics"
	"beechgrade/internal/slots"
)

// Reason says why this side closes a connection, in the form part.cause, as the counters and the log have it.
type Reason string

// Why the loop closes a connection.
const (
	closeEnd       Reason = "loop.end"        // the loop ends
	closeUnwatched Reason = "loop.unreadable" // reads or writes have failed for seconds
)

// connState is where a connection stands.
type connState int

const (
	connecting connState = iota // dialled, and not up yet
	open
	ending // Closed is being told
	gone
)

// Conn is a connection on the loop; its methods are for the loop alone.
type Conn struct {
	loop  *Loop
	ref   slots.Ref
	fd    int
	h     Handler
	id    uint64 // in the log
	state connState
	why   Reason // it is closed by this side, "" for not so

	out        []byte  // written, and not taken by the socket yet
	sent       int     // of out, taken since
	registered bool    // with the poller...
	interest   uint32  // ...for these events
	readStops  bool    // a read has failed: no more until the next try
	writeStops bool    // a write has failed
	suspect    error   // that a read failed with since the last one that brought something
	lateSince  float64 // what is read next may have come then already, 0 for only now
	tries      backoff
	again      *deadline.Timer // the next try

	dial dialling
}

func (l *Loop) newConn(fd int, h Handler) *Conn {
	l.made++
	c := &Conn{loop: l, fd: fd, h: h, id: l.made}
	c.ref = l.conns.Put(c)
	return c
}

// CloseReason returns why the connection ended: this side's reason, or "peer".
func (c *Conn) CloseReason() string {
	if c.why == "" {
		return "peer"
	}
	return string(c.why)
}

// Write sends b, or buffers what the socket does not take. A write that finds the connection broken closes it,
// and Closed has been called when Write returns.
func (c *Conn) Write(b []byte) error {
	if c.state != open {
		return net.ErrClosed
	}
	if c.UnsentBytes() == 0 {
		n, err := c.send(b)
		if err != nil {
			c.finish(err)
			return fmt.Errorf("write: %w", err)
		}
		if b = b[n:]; len(b) == 0 {
			return nil
		}
		c.out, c.sent = c.out[:0], 0
	}
	c.out = append(c.out, b...)
	c.watch()
	return nil
}

// send writes what the socket takes now. An error says that the connection has ended.
func (c *Conn) send(b []byte) (sent int, err error) {
	for interrupted := 0; sent < len(b); {
		n, err := c.loop.kernel.write(c.fd, b[sent:])
		if err == nil {
			sent += max(0, n)
			c.progress()
			continue
		}
		switch v := judge(err); {
		case v == wait:
			return sent, nil
		case v == broken:
			return sent, err
		case v == repeat && interrupted < fewRepeats:
			interrupted++
			c.loop.failed("write", err)
		default:
			c.writeStops = true
			c.stall("write", err)
			return sent, nil
		}
	}
	return sent, nil
}

// flush writes what is buffered.
func (c *Conn) flush() {
	if c.writeStops || c.UnsentBytes() == 0 {
		return
	}
	n, err := c.send(c.out[c.sent:])
	if err != nil {
		c.finish(err)
		return
	}
	if c.sent += n; c.sent == len(c.out) {
		c.out, c.sent = nil, 0
	}
}

// receive reads once and tells what came.
func (c *Conn) receive() {
	for interrupted := 0; ; interrupted++ {
		n, err := c.loop.kernel.read(c.fd, c.loop.buffer)
		switch {
		case err == nil && n > 0:
			c.suspect = nil
			c.progress()
			c.h.Data(c.loop.buffer[:n])
			if n < len(c.loop.buffer) {
				c.lateSince = 0
			}
			return
		case err == nil && c.suspect != nil: // it was the connection's last word
			c.finish(c.suspect)
			return
		case err == nil:
			c.finish(io.EOF)
			return
		}
		switch v := judge(err); {
		case v == wait:
			c.lateSince = 0
			c.progress()
			return
		case v == broken:
			c.finish(err)
			return
		case v == repeat && interrupted < fewRepeats:
			c.loop.failed("read", err)
		default:
			if v == pause {
				c.suspect = err
			}
			if c.lateSince == 0 {
				c.lateSince = c.loop.Now()
			}
			c.readStops = true
			c.stall("read", err)
			return
		}
	}
}

// progress ends a series of failures.
func (c *Conn) progress() {
	if !c.readStops && !c.writeStops {
		c.tries.reset()
	}
}

// stall has what failed tried again after a pause.
func (c *Conn) stall(call string, err error) {
	c.loop.failed(call, err)
	c.retry()
}

// retry sets the next try.
func (c *Conn) retry() {
	l := c.loop
	l.StopTimer(c.again)
	c.again = l.At(l.Now()+c.tries.next(l.Now()), c.tryAgain)
}

// tryAgain reads and writes without waiting for the poller, which may not be able to watch the connection.
func (c *Conn) tryAgain() {
	c.loop.StopTimer(c.again)
	c.again = nil
	if c.tries.enduring(c.loop.Now()) {
		c.abandon("poll", unix.ETIMEDOUT)
		c.Close(closeUnwatched)
		return
	}
	c.readStops, c.writeStops = false, false
	if c.state == connecting {
		c.connected(false)
	}
	if c.state == open {
		c.flush()
	}
	if c.state == open && !c.readStops {
		c.receive()
	}
	if c.state <= open {
		c.watch()
	}
}

// happened carries out what the poller tells.
func (c *Conn) happened(events uint32) {
	if c.state == connecting {
		c.connected(true)
		return
	}
	if events&unix.EPOLLOUT != 0 {
		c.flush()
	}
	if c.state == open && events&^unix.EPOLLOUT != 0 && !c.readStops {
		c.receive()
	}
	if c.state == open {
		c.watch()
	}
}

// watch has the poller tell what is waited for. Where it cannot, tries in short order take its place.
func (c *Conn) watch() {
	var events uint32
	if c.state == connecting || c.UnsentBytes() > 0 && !c.writeStops {
		events |= unix.EPOLLOUT
	}
	if c.state == open && !c.readStops {
		events |= unix.EPOLLIN
	}
	if c.registered && events == c.interest {
		return
	}
	change := c.loop.poller.modify
	if !c.registered {
		change = c.loop.poller.add
	}
	err := change(c.fd, c.ref, events)
	if err != nil {
		c.loop.failed("epoll_ctl", err)
		if c.again == nil {
			c.retry()
		}
		return
	}
	c.registered, c.interest = true, events
}

// EarliestArrival returns the earliest time at which the bytes passed to Data may have arrived. It is before now if reading or
// accepting failed in the meantime.
func (c *Conn) EarliestArrival() float64 {
	if c.lateSince == 0 {
		return c.loop.Now()
	}
	return c.lateSince
}

// PeerClosed reports whether the peer has closed the connection, or the connection has broken. If the loop may not have
// noticed yet, because it was held up or reading fails, it asks the system.
func (c *Conn) PeerClosed() bool {
	if c.state != open {
		return true
	}
	if c.lateSince == 0 && !c.loop.PollOverdue() {
		return false
	}
	var b [1]byte
	n, _, err := c.loop.kernel.recvfrom(c.fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	if err != nil {
		return judge(err) == broken
	}
	if n == 0 {
		return true
	}
	asked := []unix.PollFd{{Fd: int32(c.fd), Events: unix.POLLRDHUP}} // an end behind what is unread
	n, err = c.loop.kernel.poll(asked, 0)
	return err == nil && n > 0 && asked[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// UnsentBytes returns the number of written bytes that the socket has not accepted yet.
func (c *Conn) UnsentBytes() int {
	if c.state == gone {
		return 0
	}
	return len(c.out) - c.sent
}

// Close closes the connection now, after a last try to send what is buffered; Closed is called before it returns.
func (c *Conn) Close(why Reason) {
	if c.state >= ending {
		return
	}
	c.why = why
	c.loop.metrics.Add(metrics.Closed, string(why))
	c.loop.log.Debug("connection closed", "conn", c.id, "why", why)
	c.finish(nil)
}

// finish ends the connection: by this side where err is nil.
func (c *Conn) finish(err error) {
	if c.state >= ending {
		return
	}
	was := c.state
	c.state = ending
	c.loop.StopTimer(c.again)
	c.loop.StopTimer(c.dial.timer)
	if was == open {
		c.h.Closed(err)
	}
	if err == nil {
		c.sendRest()
	}
	c.state, c.out = gone, nil
	c.loop.conns.Delete(c.ref)
	_ = c.loop.kernel.closeFD(c.fd)
}

// sendRest has the socket take what it can of what is buffered.
func (c *Conn) sendRest() {
	for c.UnsentBytes() > 0 {
		n, err := c.loop.kernel.write(c.fd, c.out[c.sent:])
		if err != nil || n <= 0 {
			return
		}
		c.sent += n
	}
}

// DiscardUnsent drops the written bytes that the socket has not accepted yet, so that they are not sent at the close either.
func (c *Conn) DiscardUnsent() { c.out, c.sent = nil, 0 }

// CloseWrite ends the sending; what the other side still sends is told as before.
func (c *Conn) CloseWrite() error {
	if c.state != open {
		return net.ErrClosed
	}
	if err := c.loop.kernel.shutdown(c.fd, unix.SHUT_WR); err != nil {
		c.loop.failed("shutdown", err)
		return fmt.Errorf("shutdown: %w", err)
	}
	return nil
}

// NoPendingInput reports whether the connection is open with nothing to read: neither data nor an end of stream that the loop
// has not read yet. It returns false if the system cannot tell.
func (c *Conn) NoPendingInput() bool {
	if c.state != open {
		return false
	}
	var b [1]byte
	for range fewRepeats {
		_, _, err := c.loop.kernel.recvfrom(c.fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		if errors.Is(err, unix.EAGAIN) {
			return true
		}
		if err == nil || judge(err) == broken {
			return false
		}
		c.loop.failed("recvfrom", err)
	}
	return false
}
