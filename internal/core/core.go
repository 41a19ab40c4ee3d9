// Package core is the loop's state between the router and the sockets: it tells the router what happens
// and carries out its actions in their order. It decides nothing.
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

// Errors of a request that cannot be put to the router.
var (
	ErrClass = errors.New("no such class")
	ErrOpen  = errors.New("a request of this id is open")
	ErrWrite = errors.New("a write in a class of reads")
	ErrEnded = errors.New("the service has ended")
)

// Servers carries out attempts and probes.
type Servers interface {
	SetAddress(id, addr string)
	Drain(id string)
	Remove(id string)
	RemoveExcept(ids map[string]bool)
	StartAttempt(id string, q backend.Query, until, by float64, once bool, t backend.AttemptID) slots.Ref
	CancelAttempt(attempt slots.Ref)
	CancelUnsentAttempt(attempt slots.Ref)
	Probe(id string)
}

// Directory asks for the list of servers.
type Directory interface {
	Watch()
	Fetch()
}

// Core feeds the router. It is for the loop alone.
type Core struct {
	loop    *loop.Loop
	log     *slog.Logger
	cfg     *config.Config
	router  *beechgrade.Router
	servers Servers
	dir     Directory

	classes map[string]int
	zones   names
	kinds   names

	requests slots.Table[*request]
	ids      map[string]bool // of requests
	events   []event
	end      float64 // by then requests that come have their answer, 0 for whenever it is due
	running  bool
	actions  []beechgrade.Action
	traces   tracer
	guard    *invariant.Guard
}

// event is one that the router is yet to be told, with the time at which it happened.
type event struct {
	at beechgrade.Time
	e  beechgrade.Event
}

// New makes the core of one pooler.
func New(l *loop.Loop, log *slog.Logger, cfg *config.Config) *Core {
	c := &Core{loop: l, log: log, cfg: cfg, router: beechgrade.New(cfg.Settings, cfg.Seed),
		guard: invariant.New(log, l.Metrics()), classes: map[string]int{}, ids: map[string]bool{},
		zones: newNames(cfg.Zones), kinds: newNames(cfg.MachineTypes)}
	for i, n := range cfg.Classes {
		c.classes[n] = i
	}
	return c
}

// Start joins the core to the servers and the directory and tells the router the list as last known. A list that is
// pushed needs an open watch as much as one that is asked for, only that the router does not ask for it at the start.
func (c *Core) Start(s Servers, d Directory) {
	c.servers, c.dir = s, d
	c.list(&c.cfg.LastKnownList, beechgrade.ListRestored)
	if !c.cfg.Settings.SubscribeList {
		c.dir.Watch()
	}
}

// OpenRequests returns the number of requests that have no final answer yet or have attempts in flight.
func (c *Core) OpenRequests() int { return c.requests.Len() }

// Guard checks what this pooler does.
func (c *Core) Guard() *invariant.Guard { return c.guard }

// SetLatestDeadline limits the deadline of each request that arrives from now on to ms on the loop's clock.
func (c *Core) SetLatestDeadline(ms float64) { c.end = ms }

// Submit implements front.RequestHandler.
func (c *Core) Submit(q front.Request, client front.Client) (slots.Ref, error) {
	class, ok := c.classes[q.Class]
	if !ok {
		return slots.Ref{}, fmt.Errorf("class %q: %w", q.Class, ErrClass)
	}
	if q.IsWrite && c.cfg.Settings.Classes[class].Read != beechgrade.Write { // a read may be repeated
		return slots.Ref{}, fmt.Errorf("class %q: %w", q.Class, ErrWrite)
	}
	if c.ids[q.ID] {
		return slots.Ref{}, fmt.Errorf("id %q: %w", q.ID, ErrOpen)
	}
	if !c.guard.CheckAccept(q.ID) {
		return slots.Ref{}, ErrEnded
	}
	c.ids[q.ID] = true
	if c.end > 0 {
		q.Deadline = min(q.Deadline, c.end)
	}
	now := clock.Duration(c.loop.Now())
	ref := c.requests.Put(&request{id: q.ID, once: c.cfg.Settings.Classes[class].Effect != beechgrade.Safe, client: client,
		query: q.Query, due: q.Deadline, class: class, group: q.Group, arrived: clock.Milliseconds(now), repeat: q.Retry})
	e := &beechgrade.Request{ID: requestID(ref), Class: class, Group: q.Group, Deadline: clock.Duration(q.Deadline),
		Session: q.Session, Retry: q.Retry}
	if q.MinPosition > 0 {
		// A commit is rounded up and so may lie ahead of the clock; 0 would stand for none.
		e.SinceCommit = max(1, now-clock.Duration(q.MinPosition))
	}
	c.tellAt(now, e)
	return ref, nil
}

// Abandon implements front.RequestHandler.
func (c *Core) Abandon(ref slots.Ref, why string) {
	q, ok := c.requests.Get(ref)
	if !ok || q.over {
		return
	}
	q.over, q.why = true, why
	c.trace(q, "gone")
	c.release(ref, q)
	c.tell(&beechgrade.Abandoned{ID: requestID(ref)})
}

// AttemptEnded is backend.Events'.
func (c *Core) AttemptEnded(t backend.AttemptID, o backend.Outcome) {
	q, ok := c.requests.Get(t.Request)
	if !ok {
		return
	}
	q.open--
	y := &q.tries[t.Number]
	y.ended, y.waited, y.result = c.loop.Now(), o.WaitedMs, o.Result
	c.loop.Metrics().Add(metrics.Attempts, o.Result.String())
	if y.sent > 0 && mayHaveRun(o.Result) && (q.ranAt == 0 || y.sent < q.ranAt) {
		q.ranAt = y.sent
	}
	if o.Result == beechgrade.OK && !q.over && c.guard.CheckAnswer(q.id, q.answered) {
		q.over, q.answered = true, true
		q.client.Served(o.Answer)
		c.trace(q, "served")
	}
	final := q.over
	c.release(t.Request, q)
	c.tell(&beechgrade.Outcome{ID: requestID(t.Request), Attempt: t.Number, Server: y.server, Result: o.Result,
		Final: final, Report: told(o)})
}

// ProbeEnded is backend.Events'.
func (c *Core) ProbeEnded(server string, o backend.Outcome) {
	c.tell(&beechgrade.ProbeResult{Server: beechgrade.ServerID(server), Result: o.Result, Report: told(o)})
}

// tell tells the router of what happens now.
func (c *Core) tell(e beechgrade.Event) { c.tellAt(clock.Duration(c.loop.Now()), e) }

// tellAt queues an event and, unless an action of an earlier one is being carried out, works the queue
// off: what an action leads to at once is told after that event's actions.
func (c *Core) tellAt(at beechgrade.Time, e beechgrade.Event) {
	c.events = append(c.events, event{at, e})
	if c.running {
		return
	}
	c.running = true
	for i := 0; i < len(c.events); i++ {
		c.actions = c.router.Handle(c.events[i].at, c.events[i].e, c.actions[:0])
		for k := range c.actions {
			c.carryOut(&c.actions[k])
		}
	}
	clear(c.events)
	c.events = c.events[:0]
	c.running = false
}

func (c *Core) carryOut(a *beechgrade.Action) {
	switch a.Kind {
	case beechgrade.Send:
		c.send(a)
	case beechgrade.Cancel:
		if q, ok := c.requests.Get(refOf(a.ID)); ok && a.Attempt >= 0 && a.Attempt < len(q.tries) {
			c.servers.CancelAttempt(q.tries[a.Attempt].ref)
		}
	case beechgrade.Refuse:
		if q := c.conclude(a); q != nil {
			c.trace(q, "refused")
			q.client.Refused(clock.Milliseconds(a.Wait))
		}
	case beechgrade.Fail:
		if q := c.conclude(a); q != nil {
			c.trace(q, "failed")
			q.client.Failed()
		}
	case beechgrade.Probe:
		c.servers.Probe(string(a.Server))
	case beechgrade.SetTimer:
		tag := a.Tag
		c.loop.At(clock.Milliseconds(a.At), func() { c.tell(&beechgrade.Timer{Tag: tag}) })
	case beechgrade.Subscribe:
		c.dir.Watch()
	case beechgrade.FetchList:
		c.dir.Fetch()
	case beechgrade.Log:
		c.log.Info(a.Text)
	}
}

func told(o backend.Outcome) beechgrade.Report {
	r := beechgrade.Report{Role: o.Role, HasPosition: o.HasPosition}
	if o.HasPosition {
		r.Position = clock.Duration(o.Position)
	}
	return r
}
