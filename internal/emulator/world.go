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

// Options say what a run is like.
type Options struct {
	Program string // path of the pooler's binary
	Seed    uint64
	Poolers int
	Clients int // of each pooler
	Length  time.Duration
	Log     *slog.Logger
	Folder  string // for configurations and logs; a temporary one where it is empty
}

// replicas of each group.
const replicas = 3

// world is one run.
type world struct {
	opt     Options
	ledger  *Ledger
	dir     *Directory
	rng     *rand.Rand
	poolers []*Process
	strace  bool

	mu      sync.Mutex
	servers []*Server
	cells   []int // of the servers: their groups
	made    int   // servers so far
	burst   atomic.Bool
	faults  sync.WaitGroup
	applied map[FaultKind]int
}

// Run plays one run and judges it. An error says that it could not be played, not that a rule was broken.
func Run(ctx context.Context, opt Options) (*Report, error) {
	if opt.Folder == "" {
		folder, err := os.MkdirTemp("", "soak")
		if err != nil {
			return nil, err
		}
		defer os.RemoveAll(folder)
		opt.Folder = folder
	}
	_, noStrace := exec.LookPath("strace")
	w := &world{opt: opt, ledger: NewLedger(), dir: NewDirectory(), rng: rand.New(rand.NewPCG(opt.Seed, 0)), strace: noStrace == nil,
		applied: map[FaultKind]int{}}
	defer w.close()
	if err := w.start(); err != nil {
		return nil, err
	}
	w.play(ctx)
	return w.report(), nil
}

// start starts servers and poolers.
func (w *world) start() error {
	for cell := range groups {
		for i := range 1 + replicas {
			role := roleReplica
			if i == 0 {
				role = rolePrimary
			}
			if _, err := w.addServer(cell, role); err != nil {
				return err
			}
		}
	}
	errs := make(chan error, w.opt.Poolers)
	for i := range w.opt.Poolers {
		p, err := newProcess(fmt.Sprintf("p%d", i), poolerAddr(w.opt.Seed, i), w.opt.Program, w.opt.Folder, w.opt.Poolers, w.dir, w.ledger,
			rand.New(rand.NewPCG(w.opt.Seed, uint64(1+i))))
		if err != nil {
			return err
		}
		w.poolers = append(w.poolers, p)
		go func() { errs <- p.start() }()
	}
	for range w.poolers {
		if err := <-errs; err != nil {
			return err
		}
	}
	return nil
}

// addServer starts a server and lists it.
func (w *world) addServer(cell int, role string) (*Server, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.made++
	s, err := StartServer(fmt.Sprintf("s%d", w.made), role, w.ledger)
	if err != nil {
		return nil, err
	}
	w.servers, w.cells = append(w.servers, s), append(w.cells, cell)
	started := int64(0)
	if w.made > groups*(1+replicas) {
		started = time.Now().UnixMilli()
	}
	w.dir.Set(discovery.Instance{ID: s.id, HostPort: s.Addr(), Zone: "room", MachineType: "small", Group: cell, Lifecycle: lifecycleUp,
		Weight: 1, Role: role, StartedAtMs: started})
	return s, nil
}

// play has clients ask while the plan's faults come, and ends all poolers in order at the end.
func (w *world) play(ctx context.Context) {
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i, p := range w.poolers {
		for k := range w.opt.Clients {
			c := &Client{ledger: w.ledger, process: p, name: fmt.Sprintf("%s-c%d", p.Name, k), busy: &w.burst,
				rng: rand.New(rand.NewPCG(w.opt.Seed, uint64(1000+100*i+k)))}
			clients.Go(func() { c.run(stop) })
		}
	}
	began := time.Now()
	for _, f := range Plan(w.rng, w.opt.Length, w.opt.Poolers, groups*(1+replicas)) {
		select {
		case <-time.After(time.Until(began.Add(f.At))):
		case <-ctx.Done():
		}
		if ctx.Err() != nil {
			break
		}
		w.opt.Log.Debug("fault", "seed", w.opt.Seed, "fault", f)
		w.applied[f.Kind]++
		w.faults.Go(func() { w.apply(f) })
	}
	w.faults.Wait()
	w.endAll()
	close(stop)
	clients.Wait()
	time.Sleep(3 * noise) // for what is judged a little later
}

// endAll tells all poolers to end while their clients still ask.
func (w *world) endAll() {
	var all sync.WaitGroup
	for i, p := range w.poolers {
		all.Go(func() { p.terminate(series[i%len(series)]) })
	}
	all.Wait()
}

// apply brings one fault and takes it back.
func (w *world) apply(f Fault) {
	p, s, cell := w.poolers[f.Target%len(w.poolers)], (*Server)(nil), 0
	w.mu.Lock()
	k := f.Target % len(w.servers)
	s, cell = w.servers[k], w.cells[k]
	w.mu.Unlock()
	switch f.Kind {
	case FaultStand:
		p.stand(f.Span)
	case FaultRestart:
		if p.claim() {
			p.terminate(series[f.Count%len(series)])
			p.restart(f.Span)
		}
	case FaultHungDrain:
		w.hungDrain(p, f.Span)
	case FaultCrash:
		if p.claim() {
			p.kill()
			p.restart(f.Span)
		}
	case FaultReload:
		if err := p.move(f.Count); err != nil {
			w.opt.Log.Error("discovery cannot move", "err", err)
		}
	case FaultSqueeze:
		p.squeeze(f.Count-1, f.Span)
	case FaultSystemCall:
		if part := strings.Fields(f.Detail); w.strace {
			p.inject(part[0], part[1], part[2], f.Span)
		}
	case FaultHang:
		s.Hang(f.Span)
	case FaultSlow:
		s.Slow(float64(2+f.Count), f.Span)
	case FaultReset:
		s.Reset(0.5, false)
	case FaultResetIdle:
		s.Reset(1, true)
	case FaultServerDown:
		s.Crash(f.Span)
	case FaultDrain:
		w.drain(s, cell, f.Span)
	case FaultDirectory:
		w.dir.Down(f.Span)
	case FaultSilence:
		w.dir.Silence()
	case FaultCrowd:
		crowd(w.ledger, p, 40*f.Count, f.Span)
	case FaultBurst:
		w.burst.Store(true)
		time.Sleep(f.Span)
		w.burst.Store(false)
	case FaultHalfWay:
		stopHalfWay(w.ledger, p)
	}
}

// hungDrain has all servers hang while a pooler is told to end.
func (w *world) hungDrain(p *Process, d time.Duration) {
	if !p.claim() {
		return
	}
	w.mu.Lock()
	for _, s := range w.servers {
		s.Hang(d)
	}
	w.mu.Unlock()
	p.terminate(nil)
	p.restart(0)
}

// drain takes a replica out and puts a new one in its place.
func (w *world) drain(s *Server, cell int, d time.Duration) {
	w.mu.Lock()
	left := 0
	for i, other := range w.servers {
		if w.cells[i] == cell && other.role == roleReplica && !other.Retired() {
			left++
		}
	}
	if s.role == rolePrimary || s.Retired() || left < 2 {
		w.mu.Unlock()
		return
	}
	entry := discovery.Instance{ID: s.id, HostPort: s.Addr(), Zone: "room", MachineType: "small", Group: cell, Weight: 1, Role: s.role}
	entry.Lifecycle = lifecycleDraining
	w.dir.Set(entry)
	s.Retire(w.dir.Told())
	w.mu.Unlock()
	if _, err := w.addServer(cell, roleReplica); err != nil {
		w.opt.Log.Error("no new server", "err", err)
	}
	time.Sleep(d)
	entry.Lifecycle = lifecycleRemoved
	w.dir.Set(entry)
}

// close ends all that the run has started.
func (w *world) close() {
	for _, p := range w.poolers {
		p.close()
	}
	for _, s := range w.servers {
		s.Stop()
	}
}
