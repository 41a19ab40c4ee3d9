package emulator

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"beechgrade/internal/discovery"
)

// Options are the parameters of a run.
type Options struct {
	Program string // path of the pooler's binary
	Seed    uint64
	Poolers int
	Clients int           // per pooler
	Length  time.Duration // of the period in which faults begin
	Log     *slog.Logger
	WorkDir string // directory for configurations and logs; a temporary one if empty
}

// replicasPerGroup is the number of replicas in each group.
const replicasPerGroup = 3

// environment is everything that one run consists of: servers, discovery, poolers, clients and faults.
type environment struct {
	opt     Options
	ledger  *Ledger
	disc    *Discovery
	rng     *rand.Rand
	poolers []*Process
	strace  bool // whether strace is installed

	mu             sync.Mutex
	servers        []*Server
	serverGroups   []int // the group of each of the servers
	serversStarted int
	burst          atomic.Bool
	activeFaults   sync.WaitGroup
	applied        map[FaultKind]int
}

// Run performs one run and checks it. An error means that the run could not be performed, not that a rule was broken.
func Run(ctx context.Context, opt Options) (*Report, error) {
	if opt.WorkDir == "" {
		workDir, err := os.MkdirTemp("", "soak")
		if err != nil {
			return nil, err
		}
		defer os.RemoveAll(workDir)
		opt.WorkDir = workDir
	}
	_, noStrace := exec.LookPath("strace")
	e := &environment{opt: opt, ledger: NewLedger(), disc: NewDiscovery(), rng: rand.New(rand.NewPCG(opt.Seed, 0)),
		strace: noStrace == nil, applied: map[FaultKind]int{}}
	defer e.close()
	if err := e.start(); err != nil {
		return nil, err
	}
	e.execute(ctx)
	return e.report(), nil
}

// start starts the servers, and then all poolers at once.
func (e *environment) start() error {
	for group := range groupCount {
		for i := range 1 + replicasPerGroup {
			role := roleReplica
			if i == 0 {
				role = rolePrimary
			}
			if _, err := e.addServer(group, role); err != nil {
				return err
			}
		}
	}
	errs := make(chan error, e.opt.Poolers)
	for i := range e.opt.Poolers {
		p, err := newProcess(fmt.Sprintf("p%d", i), poolerAddr(e.opt.Seed, i), e.opt.Program, e.opt.WorkDir, e.opt.Poolers,
			e.disc, e.ledger, rand.New(rand.NewPCG(e.opt.Seed, uint64(1+i))))
		if err != nil {
			return err
		}
		e.poolers = append(e.poolers, p)
		go func() { errs <- p.start() }()
	}
	for range e.poolers {
		if err := <-errs; err != nil {
			return err
		}
	}
	return nil
}

// addServer starts a server and adds it to discovery.
func (e *environment) addServer(group int, role string) (*Server, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.serversStarted++
	s, err := StartServer(fmt.Sprintf("s%d", e.serversStarted), role, e.ledger)
	if err != nil {
		return nil, err
	}
	e.servers, e.serverGroups = append(e.servers, s), append(e.serverGroups, group)
	started := int64(0)
	if e.serversStarted > groupCount*(1+replicasPerGroup) {
		started = time.Now().UnixMilli()
	}
	e.disc.Set(discovery.Instance{ID: s.id, HostPort: s.Addr(), Zone: "room", MachineType: "small", Group: group,
		Lifecycle: lifecycleUp, Weight: 1, Role: role, StartedAtMs: started})
	return s, nil
}

// execute runs the clients while it applies the planned faults, and finally terminates all poolers with SIGTERM.
func (e *environment) execute(ctx context.Context) {
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i, p := range e.poolers {
		for k := range e.opt.Clients {
			c := &Client{ledger: e.ledger, process: p, name: fmt.Sprintf("%s-c%d", p.Name, k), burst: &e.burst,
				rng: rand.New(rand.NewPCG(e.opt.Seed, uint64(1000+100*i+k)))}
			clients.Go(func() { c.run(stop) })
		}
	}
	began := time.Now()
	for _, f := range Plan(e.rng, e.opt.Length, e.opt.Poolers, groupCount*(1+replicasPerGroup)) {
		select {
		case <-time.After(time.Until(began.Add(f.At))):
		case <-ctx.Done():
		}
		if ctx.Err() != nil {
			break
		}
		e.opt.Log.Debug("fault", "seed", e.opt.Seed, "fault", f)
		e.applied[f.Kind]++
		e.activeFaults.Go(func() { e.apply(f) })
	}
	e.activeFaults.Wait()
	e.terminateAll()
	close(stop)
	clients.Wait()
	time.Sleep(3 * timingTolerance) // for the checks that run with a delay
}

// terminateAll terminates all poolers at once, while their clients still send requests.
func (e *environment) terminateAll() {
	var terminations sync.WaitGroup
	for i, p := range e.poolers {
		terminations.Go(func() { p.terminate(signalSeries[i%len(signalSeries)]) })
	}
	terminations.Wait()
}

// apply injects one fault and ends it after its duration.
func (e *environment) apply(f Fault) {
	p, s, group := e.poolers[f.Target%len(e.poolers)], (*Server)(nil), 0
	e.mu.Lock()
	k := f.Target % len(e.servers)
	s, group = e.servers[k], e.serverGroups[k]
	e.mu.Unlock()
	switch f.Kind {
	case FaultPause:
		p.pause(f.Duration)
	case FaultRestart:
		if p.claimRestart() {
			p.terminate(signalSeries[f.Count%len(signalSeries)])
			p.restart(f.Duration)
		}
	case FaultHungDrain:
		e.restartWhileHung(p, f.Duration)
	case FaultCrash:
		if p.claimRestart() {
			p.kill()
			p.restart(f.Duration)
		}
	case FaultReload:
		if err := p.moveDiscovery(f.Count); err != nil {
			e.opt.Log.Error("cannot move discovery", "err", err)
		}
	case FaultDescriptorLimit:
		p.limitDescriptors(f.Count-1, f.Duration)
	case FaultSystemCall:
		if part := strings.Fields(f.Injection); e.strace {
			p.injectError(part[0], part[1], part[2], f.Duration)
		}
	case FaultHang:
		s.Hang(f.Duration)
	case FaultSlow:
		s.Slow(float64(2+f.Count), f.Duration)
	case FaultReset:
		s.Reset(0.5, false)
	case FaultResetIdle:
		s.Reset(1, true)
	case FaultServerDown:
		s.Crash(f.Duration)
	case FaultDrain:
		e.replaceReplica(s, group, f.Duration)
	case FaultDiscoveryDown:
		e.disc.SetDown(f.Duration)
	case FaultSilentWatches:
		e.disc.SilenceWatches()
	case FaultIdleClients:
		holdIdleConns(e.ledger, p, 40*f.Count, f.Duration)
	case FaultBurst:
		e.burst.Store(true)
		time.Sleep(f.Duration)
		e.burst.Store(false)
	case FaultPartialRequest:
		sendPartialRequest(e.ledger, p)
	}
}

// restartWhileHung makes all servers hang while it restarts a pooler.
func (e *environment) restartWhileHung(p *Process, d time.Duration) {
	if !p.claimRestart() {
		return
	}
	e.mu.Lock()
	for _, s := range e.servers {
		s.Hang(d)
	}
	e.mu.Unlock()
	p.terminate(nil)
	p.restart(0)
}

// replaceReplica drains a replica, adds a new one, and removes the old one after the duration d. It does nothing with a
// primary, or if fewer than two replicas of the group are in service.
func (e *environment) replaceReplica(s *Server, group int, d time.Duration) {
	e.mu.Lock()
	left := 0
	for i, other := range e.servers {
		if e.serverGroups[i] == group && other.role == roleReplica && !other.Draining() {
			left++
		}
	}
	if s.role == rolePrimary || s.Draining() || left < 2 {
		e.mu.Unlock()
		return
	}
	entry := discovery.Instance{ID: s.id, HostPort: s.Addr(), Zone: "room", MachineType: "small", Group: group, Weight: 1,
		Role: s.role}
	entry.Lifecycle = lifecycleDraining
	e.disc.Set(entry)
	s.MarkDraining(e.disc.PropagatedAt())
	e.mu.Unlock()
	if _, err := e.addServer(group, roleReplica); err != nil {
		e.opt.Log.Error("cannot start a replacement server", "err", err)
	}
	time.Sleep(d)
	entry.Lifecycle = lifecycleRemoved
	e.disc.Set(entry)
}

// close stops all poolers and servers.
func (e *environment) close() {
	for _, p := range e.poolers {
		p.close()
	}
	for _, s := range e.servers {
		s.Stop()
	}
}
