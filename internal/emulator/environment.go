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

	BadClients int // number of faults that consist of bad clients, in addition to the others
	Log        *slog.Logger
	WorkDir    string // directory for configurations and logs; a temporary one if empty
}

// replicasPerGroup is the number of replicas in each group.
const replicasPerGroup = 3

// badClientsStream is the stream of random numbers for bad clients. It differs from those of the plan, the poolers and the clients,
// so that a seed gives the same plan with and without bad clients.
const badClientsStream = 1 << 32

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
	applied        map[FaultKind]int // number of faults begun, by kind
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
		pooler, err := newProcess(fmt.Sprintf("p%d", i), poolerAddr(e.opt.Seed, i), e.opt.Program, e.opt.WorkDir, e.opt.Poolers,
			e.disc, e.ledger, rand.New(rand.NewPCG(e.opt.Seed, uint64(1+i))))
		if err != nil {
			return err
		}
		e.poolers = append(e.poolers, pooler)
		go func() { errs <- pooler.start() }()
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
	server, err := StartServer(fmt.Sprintf("s%d", e.serversStarted), role, e.ledger)
	if err != nil {
		return nil, err
	}
	e.servers, e.serverGroups = append(e.servers, server), append(e.serverGroups, group)
	started := int64(0) // the initial servers do not count as recently started
	if e.serversStarted > groupCount*(1+replicasPerGroup) {
		started = time.Now().UnixMilli()
	}
	e.disc.Set(discovery.Instance{ID: server.id, HostPort: server.Addr(), Zone: "room", MachineType: "small", Group: group,
		Lifecycle: lifecycleUp, Weight: 1, Role: role, StartedAtMs: started})
	return server, nil
}

// execute runs the clients while it applies the planned faults, and finally terminates all poolers with SIGTERM.
func (e *environment) execute(ctx context.Context) {
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i, pooler := range e.poolers {
		for k := range e.opt.Clients {
			c := &Client{ledger: e.ledger, process: pooler, name: fmt.Sprintf("%s-c%d", pooler.Name, k), burst: &e.burst,
				rng: rand.New(rand.NewPCG(e.opt.Seed, uint64(1000+100*i+k)))}
			clients.Go(func() { c.run(stop) })
		}
	}
	began := time.Now()
	plan := mergePlans(Plan(e.rng, e.opt.Length, e.opt.Poolers, groupCount*(1+replicasPerGroup)),
		planBadClients(rand.New(rand.NewPCG(e.opt.Seed, badClientsStream)), e.opt.Length, e.opt.Poolers, e.opt.BadClients))
	for _, fault := range plan {
		select {
		case <-time.After(time.Until(began.Add(fault.At))):
		case <-ctx.Done():
		}
		if ctx.Err() != nil {
			break
		}
		e.opt.Log.Debug("fault", "seed", e.opt.Seed, "fault", fault)
		e.applied[fault.Kind]++
		e.activeFaults.Go(func() { e.apply(fault) })
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

// apply injects one fault. A fault that lasts ends after its duration.
func (e *environment) apply(fault Fault) {
	pooler, server, group := e.poolers[fault.Target%len(e.poolers)], (*Server)(nil), 0
	e.mu.Lock()
	index := fault.Target % len(e.servers)
	server, group = e.servers[index], e.serverGroups[index]
	e.mu.Unlock()
	switch fault.Kind {
	case FaultPause:
		pooler.pause(fault.Duration)
	case FaultRestart:
		if pooler.claimRestart() {
			pooler.terminate(signalSeries[fault.Count%len(signalSeries)])
			pooler.restart(fault.Duration)
		}
	case FaultHungDrain:
		e.restartWhileHung(pooler, fault.Duration)
	case FaultCrash:
		if pooler.claimRestart() {
			pooler.kill()
			pooler.restart(fault.Duration)
		}
	case FaultReload:
		if err := pooler.moveDiscovery(fault.Count); err != nil {
			e.opt.Log.Error("cannot move discovery", "err", err)
		}
	case FaultDescriptorLimit:
		pooler.limitDescriptors(fault.Count-1, fault.Duration)
	case FaultSystemCall:
		if fields := strings.Fields(fault.Injection); e.strace {
			pooler.injectError(fields[0], fields[1], fields[2], fault.Duration)
		}
	case FaultHang:
		server.Hang(fault.Duration)
	case FaultSlow:
		server.Slow(float64(2+fault.Count), fault.Duration)
	case FaultReset:
		server.Reset(0.5, false)
	case FaultResetIdle:
		server.Reset(1, true)
	case FaultServerDown:
		server.Crash(fault.Duration)
	case FaultDrain:
		e.replaceReplica(server, group, fault.Duration)
	case FaultDiscoveryDown:
		e.disc.SetDown(fault.Duration)
	case FaultSilentWatches:
		e.disc.SilenceWatches()
	case FaultIdleClients:
		holdIdleConns(e.ledger, pooler, 40*fault.Count, fault.Duration)
	case FaultBurst:
		e.burst.Store(true)
		time.Sleep(fault.Duration)
		e.burst.Store(false)
	case FaultPartialRequest:
		sendPartialRequest(e.ledger, pooler)
	case FaultFlood:
		floodPooler(pooler, floodCommands[fault.Count-1], fault.Duration)
	case FaultSlowWriters:
		writeSlowly(pooler)
	}
}

// restartWhileHung makes all servers hang while it restarts a pooler.
func (e *environment) restartWhileHung(pooler *Process, d time.Duration) {
	if !pooler.claimRestart() {
		return
	}
	e.mu.Lock()
	for _, s := range e.servers {
		s.Hang(d)
	}
	e.mu.Unlock()
	pooler.terminate(nil)
	pooler.restart(0)
}

// replaceReplica drains a replica, adds a new one, and removes the old one after the duration d. It does nothing if the server
// is a primary or already drains, or if fewer than two replicas of its group are in service.
func (e *environment) replaceReplica(server *Server, group int, d time.Duration) {
	e.mu.Lock()
	left := 0
	for i, other := range e.servers {
		if e.serverGroups[i] == group && other.role == roleReplica && !other.Draining() {
			left++
		}
	}
	if server.role == rolePrimary || server.Draining() || left < 2 {
		e.mu.Unlock()
		return
	}
	entry := discovery.Instance{ID: server.id, HostPort: server.Addr(), Zone: "room", MachineType: "small", Group: group,
		Weight: 1, Role: server.role}
	entry.Lifecycle = lifecycleDraining
	e.disc.Set(entry)
	server.MarkDraining(e.disc.PropagatedAt())
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
