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

// Reason is why this side closes a connection, in the form "part.cause". It is used as a metric label and in the log.
type Reason string

// Reasons for which the loop itself closes a connection.
const (
	closeLoopEnded  Reason = "loop.end"        // Shutdown was called
	closeUnreadable Reason = "loop.unreadable" // reads or writes have kept failing for persistentFailureMs
)

// connState is the state of a connection.
type connState int

const (
	stateConnecting connState = iota // dialled, but not established yet
	stateOpen
	stateClosing // the handler's Closed is running
	stateClosed
)

// Conn is a connection on the loop. Its methods may only be called on the loop's goroutine.
type Conn struct {
	loop        *Loop
	ref         slots.Ref
	fd          int
	handler     Handler
	id          uint64 // identifies the connection in the log
	state       connState
	accepted    bool   // it was accepted, not dialled: it ends as soon as the peer has closed it
	closeReason Reason // set if this side has closed the connection

	sendBuffer        []byte  // written bytes that the socket has not accepted yet, from sendOffset on
	sendOffset        int     // number of bytes of sendBuffer that the socket has accepted since
	registered        bool    // the descriptor is registered with the poller
	interest          uint32  // the events for which it is registered
	readPaused        bool    // a read has failed; the next one waits for retryTimer
	readLimit         int     // largest number of bytes that one read returns, 0 while the handler takes no input
	readStoppedAtMs   float64 // when readLimit last became 0
	writePaused       bool    // a write has failed; the next one waits for retryTimer
	transientReadErr  error   // the last transient read error since the last read that returned data
	earliestArrivalMs float64 // earliest time at which the bytes read next may have arrived, 0 for now
	backoff           backoff
	retryTimer        *deadline.Timer // calls retryIO

	dial pendingDial
}

func (l *Loop) newConn(fd int, handler Handler) *Conn {
	l.lastConnID++
	c := &Conn{loop: l, fd: fd, handler: handler, id: l.lastConnID, readLimit: readBufferSize}
	c.ref = l.conns.Put(c)
	return c
}

// CloseReason returns why the connection ended: this side's reason, or "peer".
func (c *Conn) CloseReason() string {
	if c.closeReason == "" {
		return "peer"
	}
	return string(c.closeReason)
}

// Write sends b and buffers what the socket does not accept. If the connection turns out to be broken, Write closes it, and the
// handler's Closed has been called when Write returns.
func (c *Conn) Write(b []byte) error {
	if c.state != stateOpen {
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
		c.sendBuffer, c.sendOffset = c.sendBuffer[:0], 0
	}
	c.sendBuffer = append(c.sendBuffer, b...)
	c.updateInterest()
	return nil
}

// send writes as much of b as the socket accepts now. It returns an error only if the connection has ended.
func (c *Conn) send(b []byte) (sent int, err error) {
	for interruptions := 0; sent < len(b); {
		n, err := c.loop.kernel.write(c.fd, b[sent:])
		if err == nil {
			sent += max(0, n)
			c.resetBackoff()
			continue
		}
		switch action := ioActionFor(err); {
		case action == waitForPoller:
			return sent, nil
		case action == connectionEnded:
			return sent, err
		case action == retryAtOnce && interruptions < immediateTries:
			interruptions++
			c.loop.recordFailure("write", err)
		default:
			c.writePaused = true
			c.retryAfterFailure("write", err)
			return sent, nil
		}
	}
	return sent, nil
}

// flush writes the buffered bytes.
func (c *Conn) flush() {
	if c.writePaused || c.UnsentBytes() == 0 {
		return
	}
	n, err := c.send(c.sendBuffer[c.sendOffset:])
	if err != nil {
		c.finish(err)
		return
	}
	if c.sendOffset += n; c.sendOffset == len(c.sendBuffer) {
		c.sendBuffer, c.sendOffset = nil, 0
	}
}

// SetReadLimit sets the largest number of bytes that one read returns, which readBufferSize bounds as well. With 0, nothing is
// read until the limit is raised: what the peer sends stays in the socket, so that the system holds the peer back.
func (c *Conn) SetReadLimit(n int) {
	n = min(n, readBufferSize)
	if n == c.readLimit || c.state != stateOpen {
		return
	}
	switch {
	case n == 0:
		c.readStoppedAtMs = c.loop.Now()
	case c.readLimit == 0 && c.earliestArrivalMs == 0:
		c.earliestArrivalMs = c.readStoppedAtMs
	}
	c.readLimit = n
	c.updateInterest()
}

// readable reports whether the connection may be read now.
func (c *Conn) readable() bool { return c.state == stateOpen && !c.readPaused && c.readLimit > 0 }

// receive reads once and passes the data, or the end of the connection, to the handler.
func (c *Conn) receive() {
	for interruptions := 0; ; interruptions++ {
		buf := c.loop.readBuffer[:c.readLimit]
		n, err := c.loop.kernel.read(c.fd, buf)
		switch {
		case err == nil && n > 0:
			c.transientReadErr = nil
			c.resetBackoff()
			readAtMs := c.EarliestArrival()
			c.handler.Data(buf[:n])
			if c.earliestArrivalMs = 0; n == len(buf) && !c.NoPendingInput() {
				c.earliestArrivalMs = readAtMs // the rest may have arrived at the same time
			}
			return
		case err == nil:
			c.endOfStream()
			return
		}
		switch action := ioActionFor(err); {
		case action == waitForPoller:
			c.earliestArrivalMs = 0
			c.resetBackoff()
			return
		case action == connectionEnded:
			c.finish(err)
			return
		case action == retryAtOnce && interruptions < immediateTries:
			c.loop.recordFailure("read", err)
		default:
			if action == retryAfterPause {
				c.transientReadErr = err
			}
			if c.earliestArrivalMs == 0 {
				c.earliestArrivalMs = c.loop.Now()
			}
			c.readPaused = true
			c.retryAfterFailure("read", err)
			return
		}
	}
}

// endOfStream ends the connection after the peer has closed it. If the last read failed, that error was the cause of the end.
func (c *Conn) endOfStream() {
	if c.transientReadErr != nil {
		c.finish(c.transientReadErr)
		return
	}
	c.finish(io.EOF)
}

// resetBackoff ends the series of failures after a call that succeeded, unless reading or writing is still paused.
func (c *Conn) resetBackoff() {
	if !c.readPaused && !c.writePaused {
		c.backoff.reset()
	}
}

// retryAfterFailure records a failed call and schedules the retry.
func (c *Conn) retryAfterFailure(call string, err error) {
	c.loop.recordFailure(call, err)
	c.scheduleRetry()
}

// scheduleRetry sets the timer for the next try.
func (c *Conn) scheduleRetry() {
	l := c.loop
	l.StopTimer(c.retryTimer)
	c.retryTimer = l.At(l.Now()+c.backoff.nextPause(l.Now()), c.retryIO)
}

// retryIO reads and writes without waiting for the poller, because the connection may not be registered with it. It closes the
// connection if calls have kept failing for persistentFailureMs.
func (c *Conn) retryIO() {
	c.loop.StopTimer(c.retryTimer)
	c.retryTimer = nil
	if c.backoff.persistent(c.loop.Now()) {
		c.failDial("poll", unix.ETIMEDOUT)
		c.Close(closeUnreadable)
		return
	}
	c.readPaused, c.writePaused = false, false
	if c.state == stateConnecting {
		c.completeDial(false)
	}
	if c.state == stateOpen {
		c.flush()
	}
	if c.readable() {
		c.receive()
	}
	if c.state <= stateOpen {
		c.updateInterest()
	}
}

// handleEvents handles the events that the poller has reported for the connection.
func (c *Conn) handleEvents(events uint32) {
	if c.state == stateConnecting {
		c.completeDial(true)
		return
	}
	if c.accepted && events&peerClosedEvents != 0 {
		c.endOfStream() // unread input does not matter: nothing is forwarded for a client that has left
		return
	}
	if events&unix.EPOLLOUT != 0 {
		c.flush()
	}
	if events&^unix.EPOLLOUT != 0 && c.readable() {
		c.receive()
	}
	if c.state == stateOpen {
		c.updateInterest()
	}
}

// peerClosedEvents are the events of epoll and poll which show that the peer has closed the connection, or that it has broken.
// They are reported even if the end of the stream lies behind input that has not been read.
const peerClosedEvents = unix.EPOLLRDHUP | unix.EPOLLHUP | unix.EPOLLERR

// updateInterest registers with the poller the events that the connection waits for. If that fails, it schedules retries, which
// read and write without the poller.
func (c *Conn) updateInterest() {
	var events uint32
	if c.state == stateConnecting || c.UnsentBytes() > 0 && !c.writePaused {
		events |= unix.EPOLLOUT
	}
	if c.readable() {
		events |= unix.EPOLLIN
	}
	if c.accepted {
		events |= unix.EPOLLRDHUP
	}
	if c.registered && events == c.interest {
		return
	}
	setInterest := c.loop.poller.modify
	if !c.registered {
		setInterest = c.loop.poller.add
	}
	err := setInterest(c.fd, c.ref, events)
	if err != nil {
		c.loop.recordFailure("epoll_ctl", err)
		if c.retryTimer == nil {
			c.scheduleRetry()
		}
		return
	}
	c.registered, c.interest = true, events
}

// EarliestArrival returns the earliest time in milliseconds at which the bytes passed to Data may have arrived. It lies in the
// past if reads or accepts have failed since then, if the read limit was 0, or if the reads before have left data in the socket.
func (c *Conn) EarliestArrival() float64 {
	if c.earliestArrivalMs == 0 {
		return c.loop.Now()
	}
	return c.earliestArrivalMs
}

// PeerClosed reports whether the peer has closed the connection, or the connection has broken. It asks the socket, because the
// loop may not have noticed yet: it may have been held up, reads may fail, and the end of the stream may have arrived after the
// last poll, right behind a request that has waited for long on its way.
func (c *Conn) PeerClosed() bool {
	if c.state != stateOpen {
		return true
	}
	for range immediateTries {
		pollFDs := []unix.PollFd{{Fd: int32(c.fd), Events: unix.POLLRDHUP}}
		n, err := c.loop.kernel.poll(pollFDs, 0)
		if err == nil {
			return n > 0 && pollFDs[0].Revents&peerClosedEvents != 0
		}
		if !errors.Is(err, unix.EINTR) { // which the signals of the Go runtime cause as well
			c.loop.recordFailure("poll", err)
		}
	}
	return false
}

// UnsentBytes returns the number of written bytes that the socket has not accepted yet.
func (c *Conn) UnsentBytes() int {
	if c.state == stateClosed {
		return 0
	}
	return len(c.sendBuffer) - c.sendOffset
}

// Close closes the connection at once, after one attempt to send the buffered bytes. The handler's Closed is called before Close
// returns.
func (c *Conn) Close(reason Reason) {
	if c.state >= stateClosing {
		return
	}
	c.closeReason = reason
	c.loop.metrics.Add(metrics.Closed, string(reason))
	c.loop.log.Debug("connection closed", "conn", c.id, "why", reason)
	c.finish(nil)
}

// finish ends the connection and calls the handler's Closed if the connection was open. err is nil if this side closes it.
func (c *Conn) finish(err error) {
	if c.state >= stateClosing {
		return
	}
	previousState := c.state
	c.state = stateClosing
	c.loop.StopTimer(c.retryTimer)
	c.loop.StopTimer(c.dial.timer)
	if previousState == stateOpen {
		c.handler.Closed(err)
	}
	if err == nil {
		c.sendBuffered()
	}
	c.state, c.sendBuffer = stateClosed, nil
	c.loop.conns.Delete(c.ref)
	_ = c.loop.kernel.closeFD(c.fd)
}

// sendBuffered writes as many of the buffered bytes as the socket accepts and ignores errors.
func (c *Conn) sendBuffered() {
	for c.UnsentBytes() > 0 {
		n, err := c.loop.kernel.write(c.fd, c.sendBuffer[c.sendOffset:])
		if err != nil || n <= 0 {
			return
		}
		c.sendOffset += n
	}
}

// DiscardUnsent drops the written bytes that the socket has not accepted yet, so that Close does not send them either.
func (c *Conn) DiscardUnsent() { c.sendBuffer, c.sendOffset = nil, 0 }

// CloseWrite shuts down the sending direction. Data that the peer still sends is passed to the handler as before.
func (c *Conn) CloseWrite() error {
	if c.state != stateOpen {
		return net.ErrClosed
	}
	if err := c.loop.kernel.shutdown(c.fd, unix.SHUT_WR); err != nil {
		c.loop.recordFailure("shutdown", err)
		return fmt.Errorf("shutdown: %w", err)
	}
	return nil
}

// NoPendingInput reports whether the connection is open and has nothing to read: neither data nor an end of stream that the loop
// has not read yet. It returns false if the system call keeps failing.
func (c *Conn) NoPendingInput() bool {
	if c.state != stateOpen {
		return false
	}
	var b [1]byte
	for range immediateTries {
		_, _, err := c.loop.kernel.recvfrom(c.fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		if errors.Is(err, unix.EAGAIN) {
			return true
		}
		if err == nil || ioActionFor(err) == connectionEnded {
			return false
		}
		c.loop.recordFailure("recvfrom", err)
	}
	return false
}
