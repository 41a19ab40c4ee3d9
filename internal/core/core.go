// Package core connects the router to the sockets: it delivers events to the router and executes the router's actions
// in order. It makes no routing decisions.
package core

import (
	"errors"
	"fmt"
	"log/slog"

	"beechgrade"
	"beechgrade/internal/backend"
	"beechgrade/internal/clock"
	"beechgrade/internal/config"
	"beechgrade/internal/front"
	"beechgrade/internal/invariant"
	"beechgrade/internal/loop"
	"beechgrade/internal/metrics"
	"beechgrade/internal/slots"
)

// Errors of Submit. A request that ends with one of them does not reach the router.
var (
	ErrUnknownClass     = errors.New("no such class")
	ErrDuplicateID      = errors.New("a request of this id is open")
	ErrAbandonedID      = errors.New("a request of this id was abandoned and may have run")
	ErrWriteInReadClass = errors.New("a write in a class of reads")
	ErrShutDown         = errors.New("the service has ended")
)

// Servers sends attempts and probes to the db servers. Times are in milliseconds on the loop's clock.
type Servers interface {
	// SetAddress adds a server, or changes its address.
	SetAddress(serverID, addr string)
	// Drain, Remove and RemoveExcept end the unsent attempts of the servers that they affect. Attempts in flight continue.
	Drain(serverID string)
	Remove(serverID string)
	RemoveExcept(serverIDs map[string]bool)
	// StartAttempt starts an attempt that times out at timeoutAt and is not sent at sendDeadline or later. atMostOnce is
	// true if the request must not take effect twice.
	StartAttempt(serverID string, query backend.Query, timeoutAt, sendDeadline float64, atMostOnce bool,
		id backend.AttemptID) slots.Ref
	CancelAttempt(ref slots.Ref)
	// CancelUnsentAttempt cancels an attempt that still waits for a connection.
	CancelUnsentAttempt(ref slots.Ref)
	// Probe requests the load report of a server.
	Probe(serverID string)
}

// Discovery requests the server list: Watch opens a watch on its changes, Fetch requests the full list once.
type Discovery interface {
	Watch()
	Fetch()
}

// Core runs one router. Its methods must only be called on the loop's goroutine.
type Core struct {
	loop      *loop.Loop
	log       *slog.Logger
	cfg       *config.Config
	router    *beechgrade.Router
	servers   Servers
	discovery Discovery

	// The router identifies classes, zones and machine types by number.
	classNumbers       map[string]int
	zoneNumbers        numbering
	machineTypeNumbers numbering

	requests       slots.Table[*request]
	openIDs        map[string]bool // client IDs of the requests in the table
	abandoned      *abandonedIDs
	queue          []queuedEvent       // events for the router, cleared once all are handled
	latestDeadline float64             // limit for the deadlines of new requests, in milliseconds on the loop's clock, 0 for none
	handling       bool                // deliverAt is processing the queue
	actions        []beechgrade.Action // actions of the current event; the slice is reused
	logLimit       logLimit
	guard          *invariant.Guard
}

// queuedEvent is an event for the router, with the time at which it happened.
type queuedEvent struct {
	at    beechgrade.Time
	event beechgrade.Event
}

// New returns the core of one pooler.
func New(l *loop.Loop, log *slog.Logger, cfg *config.Config) *Core {
	c := &Core{loop: l, log: log, cfg: cfg, router: beechgrade.New(cfg.Settings, cfg.Seed),
		guard: invariant.New(log, l.Metrics()), classNumbers: map[string]int{}, openIDs: map[string]bool{}, abandoned: newAbandonedIDs(),
		zoneNumbers: newNumbering(cfg.Zones), machineTypeNumbers: newNumbering(cfg.MachineTypes)}
	for i, name := range cfg.Classes {
		c.classNumbers[name] = i
	}
	return c
}

// Start connects the core to the servers and to discovery and delivers the last known server list to the router. If the
// settings leave it to the router to subscribe to the list, it does so with an action; otherwise Start opens the watch.
func (c *Core) Start(s Servers, d Discovery) {
	c.servers, c.discovery = s, d
	c.applyList(&c.cfg.LastKnownList, beechgrade.ListRestored)
	if !c.cfg.Settings.SubscribeList {
		c.discovery.Watch()
	}
}

// OpenRequests returns the number of requests that have not ended, or whose attempts have not all ended.
func (c *Core) OpenRequests() int { return c.requests.Len() }

// Guard returns the guard that checks the invariants of this pooler.
func (c *Core) Guard() *invariant.Guard { return c.guard }

// SetLatestDeadline limits the deadlines of requests that arrive from now on to ms, in milliseconds on the loop's clock.
func (c *Core) SetLatestDeadline(ms float64) { c.latestDeadline = ms }

// Submit implements front.RequestHandler.
func (c *Core) Submit(req front.Request, client front.Client) (slots.Ref, error) {
	class, ok := c.classNumbers[req.Class]
	if !ok {
		return slots.Ref{}, fmt.Errorf("class %q: %w", req.Class, ErrUnknownClass)
	}
	if req.IsWrite && c.cfg.Settings.Classes[class].Read != beechgrade.Write { // reads may be sent more than once
		return slots.Ref{}, fmt.Errorf("class %q: %w", req.Class, ErrWriteInReadClass)
	}
	if c.openIDs[req.ID] {
		return slots.Ref{}, fmt.Errorf("id %q: %w", req.ID, ErrDuplicateID)
	}
	if c.abandoned.contains(req.ID, c.loop.Now()) {
		return slots.Ref{}, fmt.Errorf("id %q: %w", req.ID, ErrAbandonedID)
	}
	if !c.guard.CheckAccept(req.ID) {
		return slots.Ref{}, ErrShutDown
	}
	c.openIDs[req.ID] = true
	if c.latestDeadline > 0 {
		req.Deadline = min(req.Deadline, c.latestDeadline)
	}
	now := clock.Duration(c.loop.Now())
	ref := c.requests.Put(&request{id: req.ID, atMostOnce: c.cfg.Settings.Classes[class].Effect != beechgrade.Safe,
		client: client, query: req.Query, deadline: req.Deadline, class: class, group: req.Group,
		arrivedAt: clock.Milliseconds(now), retry: req.Retry})
	event := &beechgrade.Request{ID: requestID(ref), Class: class, Group: req.Group, Deadline: clock.Duration(req.Deadline),
		Session: req.Session, Retry: req.Retry}
	if req.MinPosition > 0 {
		// The position of a commit is rounded up, so it may be ahead of the clock. The minimum is 1 because 0 means no commit.
		event.SinceCommit = max(1, now-clock.Duration(req.MinPosition))
	}
	c.deliverAt(now, event)
	return ref, nil
}

// Abandon implements front.RequestHandler.
func (c *Core) Abandon(ref slots.Ref, reason string) {
	req, ok := c.requests.Get(ref)
	if !ok || req.ended {
		return
	}
	req.ended, req.reason = true, reason
	if req.atMostOnce && req.firstRunAt() > 0 {
		c.abandoned.add(req.id, c.loop.Now())
	}
	c.recordEnd(req, "gone")
	c.release(ref, req)
	c.deliver(&beechgrade.Abandoned{ID: requestID(ref)})
}

// AttemptEnded implements backend.Events.
func (c *Core) AttemptEnded(id backend.AttemptID, outcome backend.Outcome) {
	req, ok := c.requests.Get(id.Request)
	if !ok {
		return
	}
	req.openAttempts--
	attempt := &req.attempts[id.Number]
	attempt.endedAt, attempt.waitedMs, attempt.result = c.loop.Now(), outcome.WaitedMs, outcome.Result
	c.loop.Metrics().Add(metrics.Attempts, outcome.Result.String())
	if outcome.Result == beechgrade.OK && !req.ended && c.guard.CheckAnswer(req.id, req.answered) {
		req.ended, req.answered = true, true
		req.client.Served(outcome.Answer)
		c.recordEnd(req, "served")
	}
	ended := req.ended
	c.release(id.Request, req)
	c.deliver(&beechgrade.Outcome{ID: requestID(id.Request), Attempt: id.Number, Server: attempt.server, Result: outcome.Result,
		Final: ended, Report: reportOf(outcome)})
}

// ProbeEnded implements backend.Events.
func (c *Core) ProbeEnded(serverID string, outcome backend.Outcome) {
	c.deliver(&beechgrade.ProbeResult{Server: beechgrade.ServerID(serverID), Result: outcome.Result, Report: reportOf(outcome)})
}

// deliver delivers an event that happens now.
func (c *Core) deliver(e beechgrade.Event) { c.deliverAt(clock.Duration(c.loop.Now()), e) }

// deliverAt queues an event and passes all queued events to the router. While an action of an earlier event is being
// executed, it only queues: events that an action causes directly are handled after all actions of the current event.
func (c *Core) deliverAt(at beechgrade.Time, e beechgrade.Event) {
	c.queue = append(c.queue, queuedEvent{at, e})
	if c.handling {
		return
	}
	c.handling = true
	for i := 0; i < len(c.queue); i++ {
		c.actions = c.router.Handle(c.queue[i].at, c.queue[i].event, c.actions[:0])
		for k := range c.actions {
			c.execute(&c.actions[k])
		}
	}
	clear(c.queue)
	c.queue = c.queue[:0]
	c.handling = false
}

// execute executes one action of the router.
func (c *Core) execute(action *beechgrade.Action) {
	switch action.Kind {
	case beechgrade.Send:
		c.startAttempt(action)
	case beechgrade.Cancel:
		if attempt := c.attemptOf(action); attempt != nil {
			c.servers.CancelAttempt(attempt.ref)
		}
	case beechgrade.CancelUnsent:
		if attempt := c.attemptOf(action); attempt != nil {
			c.servers.CancelUnsentAttempt(attempt.ref)
		}
	case beechgrade.Refuse:
		if req := c.finish(action); req != nil {
			c.recordEnd(req, "refused")
			req.client.Refused(clock.Milliseconds(action.Wait))
		}
	case beechgrade.Fail:
		if req := c.finish(action); req != nil {
			c.recordEnd(req, "failed")
			req.client.Failed()
		}
	case beechgrade.Probe:
		c.servers.Probe(string(action.Server))
	case beechgrade.SetTimer:
		tag := action.Tag
		c.loop.At(clock.Milliseconds(action.At), func() { c.deliver(&beechgrade.Timer{Tag: tag}) })
	case beechgrade.Subscribe:
		c.discovery.Watch()
	case beechgrade.FetchList:
		c.discovery.Fetch()
	case beechgrade.Log:
		c.log.Info(action.Text)
	}
}

// reportOf returns the report in an outcome, in the router's types.
func reportOf(o backend.Outcome) beechgrade.Report {
	r := beechgrade.Report{Role: o.Role, HasPosition: o.HasPosition}
	if o.HasPosition {
		r.Position = clock.Duration(o.Position)
	}
	return r
}
