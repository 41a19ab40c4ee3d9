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
	// reservedDescriptors is the number of descriptors for discovery, the listener, the poller and the Go runtime.
	reservedDescriptors = 64
	// maxServerConnShare is the largest share of the other descriptors that connections to servers may use.
	maxServerConnShare = 0.45
	// minServerConnShare is the share of the other descriptors that clients must leave to connections to servers.
	minServerConnShare = 0.2
	// activeClientDivisor determines the limit of active clients, above which idle ones are closed: the configured number of
	// descriptors divided by it.
	activeClientDivisor = 4
	// idleTimeoutFactor is the fraction of the servers' idle time-out after which the pooler closes an idle connection.
	idleTimeoutFactor = 0.8
)

// pooler connects the components of the program.
type pooler struct {
	cfg        *config.Config
	log        *slog.Logger
	loop       *loop.Loop
	core       *core.Core
	front      *front.Postgres
	pool       *backend.Pool
	discovery  *discovery.Client
	loadConfig func() (*config.Config, error) // reads the configuration again after SIGHUP
	state      state

	descriptorLimit int // maximum number of descriptors of the process, as of its start
	unanswered      int // requests without an answer when the process ended
}

func newPooler(cfg *config.Config, log *slog.Logger) *pooler {
	p := &pooler{cfg: cfg, log: log, descriptorLimit: descriptorLimit()}
	p.loop = loop.New(clock.System(), log, func() loop.Handler { return p.front.NewHandler() }, p.start)
	p.core = core.New(p.loop, log, cfg)
	usableDescriptors := func() int { return min(p.cfg.Limits.Sockets, p.descriptorLimit) - reservedDescriptors }
	shareOfDescriptors := func(share float64) int { return int(share * float64(usableDescriptors())) }
	memoryBytes := func() int { return p.cfg.Limits.MemoryMB << 20 }
	p.pool = backend.New(p.loop, log, backend.Options{User: "backend", Database: "store",
		Roles: [2]string{"primary", "replica"}, PositionParameter: "applied_ms",
		ReportFields: cfg.ReportFields, ConnectTimeoutMs: cfg.ConnectTimeoutMs,
		IdleTimeoutMs: cfg.IdleTimeoutMs * idleTimeoutFactor, MemoryBytes: memoryBytes,
		MaxConns: func() int {
			return min(shareOfDescriptors(maxServerConnShare), usableDescriptors()-p.front.SessionCount())
		}}, p.core)
	spareDescriptors := func() int {
		return usableDescriptors() - p.front.SessionCount() - max(shareOfDescriptors(minServerConnShare), p.pool.ConnCount())
	}
	p.front = front.NewPostgres(p.loop, log, p.core, p.core.Guard(), front.Budget{SpareDescriptors: spareDescriptors,
		ActiveClientLimit: func() int { return p.cfg.Limits.Sockets / activeClientDivisor },
		CloseIdleServerConn: func() bool {
			return p.pool.ConnCount() > shareOfDescriptors(minServerConnShare) && p.pool.CloseOldestIdle()
		},
		MemoryBytes: memoryBytes, MaxRetryAfterMs: clock.Milliseconds(cfg.Settings.MaxRetryAfter)})
	p.loop.OnDescriptorsExhausted = func() bool { return p.front.FreeDescriptor() || p.pool.CloseOldestIdle() }
	return p
}

// descriptorLimit returns the maximum number of descriptors that the system allows the process, which may be lower than the
// configured number.
func descriptorLimit() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return math.MaxInt32
	}
	return int(min(limit.Cur, math.MaxInt32))
}

// countersIntervalMs is the time between two log lines with the counters, in milliseconds.
const countersIntervalMs = 10000

// logCounters logs the counters, and does so again every countersIntervalMs.
func (p *pooler) logCounters() {
	p.loop.Metrics().Log(p.log)
	p.loop.At(p.loop.Now()+countersIntervalMs, p.logCounters)
}

// start starts the components. It runs on the loop before anything else.
func (p *pooler) start() {
	p.discovery = discovery.New(p.loop, p.log, p.cfg.Discovery, p.cfg.LastKnownList.Generation, p.core)
	p.core.Start(p.pool, p.discovery)
	p.front.StartSweeps()
	p.logCounters()
	p.setState(serving)
	p.log.Info("serving", "listen", p.loop.Addr(), "servers", len(p.cfg.LastKnownList.Instances),
		"siblings", p.cfg.Settings.RouterCount, "max_retry_after", p.cfg.Settings.MaxRetryAfter)
}

// run serves until a signal arrives on stop and the drain that follows has ended. A signal on reload makes it read the
// configuration again. It returns an error if the loop fails, ends before the drain has, or leaves requests unanswered.
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

// apply applies those values of a new configuration that can change while the pooler serves.
func (p *pooler) apply(next *config.Config) {
	changed, kept := p.cfg.Apply(next)
	p.log.Info("configuration read again", "changed", changed)
	if len(kept) > 0 {
		p.log.Warn("cannot change while serving, needs a restart", "kept", kept)
	}
	setMemoryLimit(p.cfg)
	p.pool.SetTimeouts(p.cfg.ConnectTimeoutMs, p.cfg.IdleTimeoutMs*idleTimeoutFactor)
	p.discovery.SetAddress(p.cfg.Discovery)
}
