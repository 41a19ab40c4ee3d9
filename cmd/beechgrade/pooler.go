package main

import (
	"fmt"
	"log/slog"
	"math"
	"os"

	"golang.org/x/sys/unix"

	"beechgrade/internal/backend"
	"beechgrade/internal/clock"
	"beechgrade/internal/config"
	"beechgrade/internal/core"
	"beechgrade/internal/discovery"
	"beechgrade/internal/front"
	"beechgrade/internal/loop"
)

const (
	reserved  = 64   // descriptors for discovery, the listener, the poller and the runtime
	poolMost  = 0.45 // of the others, at most for connections to servers...
	poolLeast = 0.2  // ...and what clients leave to them
	askPart   = 4    // clients that ask and hold 1 descriptor in so many are many
	idlePart  = 0.8  // of the servers' idle time, after which a connection is closed here
)

// pooler is the program's parts, joined.
type pooler struct {
	cfg   *config.Config
	log   *slog.Logger
	loop  *loop.Loop
	core  *core.Core
	front *front.Postgres
	pool  *backend.Pool
	dir   *discovery.Client
	load  func() (*config.Config, error) // reads the configuration again
	state state

	descriptors int // that the system lets the process have, as of its start
	unanswered  int // requests at the end of the process
}

func newPooler(cfg *config.Config, log *slog.Logger) *pooler {
	p := &pooler{cfg: cfg, log: log, descriptors: descriptorLimit()}
	p.loop = loop.New(clock.System(), log, func() loop.Handler { return p.front.NewHandler() }, p.start)
	p.core = core.New(p.loop, log, cfg)
	sockets := func() int { return min(p.cfg.Limits.Sockets, p.descriptors) - reserved }
	part := func(x float64) int { return int(x * float64(sockets())) }
	memory := func() int { return p.cfg.Limits.MemoryMB << 20 }
	p.pool = backend.New(p.loop, log, backend.Options{User: "backend", Database: "store",
		Roles: [2]string{"primary", "replica"}, PositionParameter: "applied_ms",
		ReportFields: cfg.ReportFields, ConnectTimeoutMs: cfg.ConnectTimeoutMs,
		IdleTimeoutMs: cfg.IdleTimeoutMs * idlePart, MemoryBytes: memory,
		MaxConns: func() int { return min(part(poolMost), sockets()-p.front.SessionCount()) }}, p.core)
	spare := func() int {
		return sockets() - p.front.SessionCount() - max(part(poolLeast), p.pool.ConnCount())
	}
	p.front = front.NewPostgres(p.loop, log, p.core, p.core.Guard(), front.Budget{SpareDescriptors: spare,
		ActiveClientLimit:   func() int { return p.cfg.Limits.Sockets / askPart },
		CloseIdleServerConn: func() bool { return p.pool.ConnCount() > part(poolLeast) && p.pool.CloseOldestIdle() },
		MemoryBytes:         memory, MaxRetryAfterMs: clock.Milliseconds(cfg.Settings.MaxRetryAfter)})
	p.loop.OnDescriptorsExhausted = func() bool { return p.front.FreeDescriptor() || p.pool.CloseOldestIdle() }
	return p
}

// descriptorLimit is how many descriptors the system lets the process have, which may be fewer than the configuration says.
func descriptorLimit() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return math.MaxInt32
	}
	return int(min(limit.Cur, math.MaxInt32))
}

// countersMs is the time between two lines with the counters.
const countersMs = 10000

// logCounters logs the counters now and from time to time.
func (p *pooler) logCounters() {
	p.loop.Metrics().Log(p.log)
	p.loop.At(p.loop.Now()+countersMs, p.logCounters)
}

// start runs on the loop before anything else.
func (p *pooler) start() {
	p.dir = discovery.New(p.loop, p.log, p.cfg.Discovery, p.cfg.LastKnownList.Generation, p.core)
	p.core.Start(p.pool, p.dir)
	p.front.StartSweeps()
	p.logCounters()
	p.enter(serving)
	p.log.Info("serving", "listen", p.loop.Addr(), "servers", len(p.cfg.LastKnownList.Instances),
		"siblings", p.cfg.Settings.RouterCount, "max_retry_after", p.cfg.Settings.MaxRetryAfter)
}

// run serves until a signal to stop comes and nothing is owed any more; one to reload changes the configuration.
func (p *pooler) run(stop, reload <-chan os.Signal) error {
	go func() {
		<-stop
		p.loop.Post(p.beginDrain)
	}()
	go p.reload(reload)
	if err := p.loop.Run(p.cfg.Listen); err != nil {
		return err
	}
	if p.state != ended {
		return fmt.Errorf("the event loop ended while %v", p.state)
	}
	if p.unanswered > 0 {
		return fmt.Errorf("ended with %d requests unanswered", p.unanswered)
	}
	return nil
}

// apply takes a new configuration, as far as that goes while serving.
func (p *pooler) apply(next *config.Config) {
	changed, kept := p.cfg.Apply(next)
	p.log.Info("configuration read again", "changed", changed)
	if len(kept) > 0 {
		p.log.Warn("cannot change while serving, needs a restart", "kept", kept)
	}
	limitMemory(p.cfg)
	p.pool.SetTimeouts(p.cfg.ConnectTimeoutMs, p.cfg.IdleTimeoutMs*idlePart)
	p.dir.SetAddress(p.cfg.Discovery)
}
