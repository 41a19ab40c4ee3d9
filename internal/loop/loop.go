// Package loop implements the program's event loop, which runs on one goroutine. The handlers of accepted and dialled
// connections, posted functions and timers all run on that goroutine, one at a time, so the state that they share needs no
// lock.
//
// A failing system call never ends the loop, nor a connection that may still be usable: see the table in errno.go. Once it
// serves, the loop ends only when Shutdown is called.
package loop

import (
	"errors"
	"fmt"
	"log/slog"
	"math"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"beechgrade/internal/clock"
	"beechgrade/internal/deadline"
	"beechgrade/internal/metrics"
	"beechgrade/internal/slots"
)

// Handler receives the events of one connection. The slice passed to Data is valid only during the call. Closed receives nil
// if this side has closed the connection, io.EOF after an orderly end of the stream, and otherwise the error.
type Handler interface {
	Opened(c *Conn)
	Data(b []byte)
	Closed(err error)
}

// maxPollRetryPauseMs is the longest pause in milliseconds between two passes over all connections while epoll_wait fails.
const maxPollRetryPauseMs = 10

// readBufferSize is the largest number of bytes that one read returns. An answer with the largest value fits in.
const readBufferSize = 1 << 17

// Loop is the event loop. Now, At, StopTimer and the methods of Conn may only be called by functions that run on it. Post may be
// called from any goroutine.
type Loop struct {
	// OnReady, if set before Run, is called on the loop once it listens.
	OnReady func()
	// OnDescriptorsExhausted, if set before Run, is called when no file descriptor is left. It may close connections, and reports
	// whether it did.
	OnDescriptorsExhausted func() bool

	clk        clock.Clock
	log        *slog.Logger
	kernel     *kernel
	newHandler func() Handler
	onStart    func()
	metrics    *metrics.Set

	poller       *poller
	listener     listener
	timers       deadline.Heap
	deferred     []func() // run once all events of the present poll are handled
	conns        slots.Table[*Conn]
	lastConnID   uint64 // number of connections created so far
	readBuffer   []byte
	pollBackoff  backoff
	lastLoggedMs map[string]float64 // by call and errno: time of the last log line about that failure
	shuttingDown bool

	mu          sync.Mutex
	posted      []func()
	wakePending bool // no further wake-up is needed: one is pending, or the loop takes the posted functions before it polls
	ended       bool
}

// New creates a loop. newHandler returns the handler for an accepted connection. onStart runs on the loop before anything else.
func New(clk clock.Clock, log *slog.Logger, newHandler func() Handler, onStart func()) *Loop {
	return &Loop{clk: clk, log: log, kernel: linuxKernel(), newHandler: newHandler, onStart: onStart, metrics: metrics.New(),
		readBuffer: make([]byte, readBufferSize), lastLoggedMs: map[string]float64{}, wakePending: true}
}

// Metrics returns the counters of the pooler that runs on this loop.
func (l *Loop) Metrics() *metrics.Set { return l.metrics }

// Run listens on addr and serves until Shutdown. It returns an error if it cannot begin to serve.
func (l *Loop) Run(addr string) error {
	if err := l.openWithRetry(addr); err != nil {
		return err
	}
	defer l.closePoller()
	l.onStart()
	if l.OnReady != nil {
		l.OnReady()
	}
	l.runPending()
	for !l.shuttingDown {
		events, err := l.poller.wait(l.pollTimeoutMs())
		if err != nil {
			l.handlePollError(err)
			continue
		}
		l.pollBackoff.reset()
		for i := range events {
			l.handleEvent(&events[i])
			l.runPending()
		}
		l.runDeferred()
		l.runPending()
	}
	l.listener.close(l)
	l.conns.Each(func(_ slots.Ref, c *Conn) { c.Close(closeLoopEnded) })
	return nil
}

// closePoller closes the poller. Functions posted afterwards are dropped.
func (l *Loop) closePoller() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended = true
	l.poller.close()
}

// openWithRetry opens the poller and the listener. It retries transient failures for persistentFailureMs, because nothing
// restarts the process if it exits.
func (l *Loop) openWithRetry(addr string) error {
	var openBackoff backoff
	for {
		err := l.openOnce(addr)
		if err == nil {
			return nil
		}
		now := l.Now()
		if errors.Is(err, errInvalidAddress) || openBackoff.persistent(now) {
			return fmt.Errorf("listen: %w", err)
		}
		l.recordFailure("listen", err)
		time.Sleep(clock.Duration(openBackoff.nextPause(now)))
	}
}

func (l *Loop) openOnce(addr string) error {
	var err error
	if l.poller == nil {
		if l.poller, err = openPoller(l.kernel); err != nil {
			return err
		}
	}
	return l.listener.open(l, addr)
}

// handlePollError handles a failed wait: it accepts, reads and writes without the poller. A single interruption is not a failure.
func (l *Loop) handlePollError(err error) {
	first := l.pollBackoff.firstFailureMs == 0
	pauseMs := l.pollBackoff.nextPause(l.Now())
	if errors.Is(err, unix.EINTR) && first { // interrupted by a signal
		l.runPending()
		return
	}
	l.recordFailure("epoll_wait", err)
	time.Sleep(clock.Duration(min(pauseMs, maxPollRetryPauseMs)))
	l.listener.acceptPending(l)
	l.conns.Each(func(_ slots.Ref, c *Conn) {
		c.retryIO()
		l.runPending()
	})
	l.runDeferred()
	l.runPending()
}

// handleEvent handles one event of the poller.
func (l *Loop) handleEvent(e *unix.EpollEvent) {
	switch ref := eventRef(e); ref {
	case wakeRef:
		if err := l.poller.resetWake(); err != nil {
			l.recordFailure("read", err)
		}
	case listenRef:
		l.listener.acceptPending(l)
	default:
		if c, ok := l.conns.Get(ref); ok {
			c.handleEvents(e.Events)
		}
	}
}

// pollTimeoutMs returns the time in milliseconds until the next timer expires, rounded up, -1 if no timer is set, or 0 if functions
// are deferred or during shutdown.
func (l *Loop) pollTimeoutMs() int {
	if l.shuttingDown || len(l.deferred) > 0 {
		return 0
	}
	at, ok := l.timers.Next()
	if !ok {
		return -1
	}
	return int(min(max(0, math.Ceil(at-l.clk.Now())), math.MaxInt32))
}

// runPending runs the posted functions and the expired timers. It is called between callbacks, never inside one.
func (l *Loop) runPending() {
	for _, f := range l.takePosted() {
		f()
	}
	l.timers.Run(l.clk.Now())
}

// runDeferred runs the deferred functions. Those that are deferred meanwhile wait until the next poll.
func (l *Loop) runDeferred() {
	deferred := l.deferred
	l.deferred = nil
	for _, f := range deferred {
		f()
	}
}

func (l *Loop) takePosted() []func() {
	l.mu.Lock()
	defer l.mu.Unlock()
	posted := l.posted
	l.posted, l.wakePending = nil, false
	return posted
}

// Post schedules f to run on the loop. It may be called from any goroutine.
func (l *Loop) Post(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return
	}
	l.posted = append(l.posted, f)
	if !l.wakePending {
		l.wakePending = true
		l.wake()
	}
}

// wake interrupts the poller's wait. If that fails, it is retried until the loop has taken the posted functions. The caller holds
// mu, because closePoller closes the eventfd while holding it.
func (l *Loop) wake() {
	err := l.poller.wake()
	if err == nil {
		return
	}
	l.metrics.Add(metrics.SyscallErrors, "eventfd_write."+errnoName(err))
	time.AfterFunc(clock.Duration(firstRetryPauseMs), func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.wakePending && !l.ended {
			l.wake()
		}
	})
}

// Shutdown makes the loop close all connections and Run return.
func (l *Loop) Shutdown() { l.Post(func() { l.shuttingDown = true }) }

// Addr returns the address that the loop listens on, with the actual port if port 0 was requested.
func (l *Loop) Addr() string { return l.listener.addr }

// AcceptPaused reports whether accepting is paused after a failure, so that clients may be waiting in the queue.
func (l *Loop) AcceptPaused() bool { return l.listener.paused }

// Now returns the time in milliseconds.
func (l *Loop) Now() float64 { return l.clk.Now() }

// Defer schedules f to run on the loop after all events that the present poll has returned, or after the next poll if called by a
// deferred function. It lets a long piece of work be done in turns with the events of all connections.
func (l *Loop) Defer(f func()) { l.deferred = append(l.deferred, f) }

// At schedules f to run on the loop at the given time in milliseconds.
func (l *Loop) At(ms float64, f func()) *deadline.Timer { return l.timers.Add(ms, f) }

// StopTimer cancels a timer. It does nothing if the timer is nil or has expired.
func (l *Loop) StopTimer(t *deadline.Timer) { l.timers.Stop(t) }
