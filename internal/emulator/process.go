package emulator

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"beechgrade/internal/pgwire"
)

// Process is a real pooler: one program, started again and again under one name and address.
type Process struct {
	Name string

	program string
	listen  string
	config  string // path
	logPath string
	poolers int
	dir     *Directory
	ledger  *Ledger
	rng     *rand.Rand

	mu     sync.Mutex
	door   *door
	cmd    *exec.Cmd
	exited chan struct{}
	life   life
	fates  []*Fate // of each start, the last one's still open
	busy   bool    // a restart is under way
	log    *os.File
}

// life is where the process stands, as the operator wants it.
type life int

const (
	down  life = iota
	up         // it must not end
	ended      // it was told to end
)

// Fate is what became of one start of a process.
type Fate struct {
	Term   time.Time // SIGTERM, zero for not so
	Killed time.Time // SIGKILL
	Ended  time.Time
}

// poolerPort is where poolers listen, each at an address of its own.
const poolerPort = 6543

// poolerAddr is the address of one pooler of one run on the loopback network. No other socket of this machine is bound to it, so that
// it stays free while its pooler is down.
func poolerAddr(seed uint64, no int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", 1+seed%200, no/250, 1+no%250, poolerPort)
}

// String says what became of it.
func (f Fate) String() string {
	text := "runs"
	for name, at := range map[string]time.Time{"SIGTERM": f.Term, "SIGKILL": f.Killed, "ended": f.Ended} {
		if !at.IsZero() {
			text += fmt.Sprintf(", %s %v ago", name, time.Since(at).Round(time.Millisecond))
		}
	}
	return text
}

// newProcess prepares a pooler that listens at an address.
func newProcess(name, listen, program, folder string, poolers int, dir *Directory, ledger *Ledger, rng *rand.Rand) (*Process, error) {
	p := &Process{Name: name, program: program, listen: listen, config: filepath.Join(folder, name+".json"),
		logPath: filepath.Join(folder, name+".log"), poolers: poolers, dir: dir, ledger: ledger, rng: rng}
	var err error
	if p.door, err = dir.open(); err != nil {
		return nil, err
	}
	p.log, err = os.OpenFile(p.logPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND|os.O_TRUNC, 0o600)
	return p, err
}

// configure writes the configuration file anew, as it stands.
func (p *Process) configure() error {
	b, err := configuration(p.Name, p.listen, p.door.addr, p.rng.Uint64(), p.poolers, p.dir.Whole())
	if err != nil {
		return err
	}
	return os.WriteFile(p.config, b, 0o600)
}

// start runs the program and waits until it serves.
func (p *Process) start() error {
	p.mu.Lock()
	if err := p.configure(); err != nil {
		p.mu.Unlock()
		return err
	}
	cmd := exec.Command(p.program, "serve")
	cmd.Env = append(os.Environ(), "EDGE_CONFIG="+p.config)
	cmd.Stdout, cmd.Stderr = p.log, p.log
	exited := make(chan struct{})
	if err := cmd.Start(); err != nil {
		p.mu.Unlock()
		return err
	}
	fate := &Fate{}
	p.cmd, p.exited, p.life, p.fates = cmd, exited, up, append(p.fates, fate)
	p.mu.Unlock()
	go p.wait(cmd, fate, exited)
	return p.ready(exited)
}

// wait judges how the process ends.
func (p *Process) wait(cmd *exec.Cmd, fate *Fate, exited chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	life, killed := p.life, fate.Killed
	p.life, fate.Ended = down, time.Now()
	p.mu.Unlock()
	close(exited)
	switch {
	case !killed.IsZero():
	case life == up:
		p.ledger.Violate(RuleCrash, "%s ended by itself: %v", p.Name, cmd.ProcessState)
	case err != nil:
		p.ledger.Violate(RuleCrash, "%s was told to end, and did so with %v", p.Name, err)
	}
}

// ready waits until an empty query is answered.
func (p *Process) ready(exited chan struct{}) error {
	began := time.Now()
	for time.Since(began) < readyGrace {
		select {
		case <-exited:
			return fmt.Errorf("%s ended at its start", p.Name)
		default:
		}
		if p.answers() {
			return nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready after %v", p.Name, readyGrace)
}

// answers tells whether an empty query is answered.
func (p *Process) answers() bool {
	c, err := net.DialTimeout("tcp", p.listen, time.Second)
	if err != nil {
		return false
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(time.Second))
	if _, err := c.Write(pgwire.AppendQuery(pgwire.AppendStartup(nil, "backend", "store"), "")); err != nil {
		return false
	}
	b, _ := bufio.NewReader(c).ReadByte()
	return b == 'R'
}

// pid is the process's, 0 where there is none.
func (p *Process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.life == down || p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// signal sends a signal, if there is a process.
func (p *Process) signal(s syscall.Signal) {
	if pid := p.pid(); pid != 0 {
		_ = syscall.Kill(pid, s)
	}
}

// kill ends the process without warning.
func (p *Process) kill() {
	p.mu.Lock()
	cmd, exited := p.cmd, p.exited
	if p.life != down {
		p.fates[len(p.fates)-1].Killed = time.Now()
		_ = cmd.Process.Kill()
	}
	p.mu.Unlock()
	<-exited
}

// terminate tells the process to end, with a series of signals, and kills it at the earliest moment that is allowed.
func (p *Process) terminate(series []syscall.Signal) {
	p.mu.Lock()
	if p.life != up {
		p.mu.Unlock()
		return
	}
	began, exited := time.Now(), p.exited
	p.life, p.fates[len(p.fates)-1].Term = ended, began
	p.mu.Unlock()
	for _, s := range append([]syscall.Signal{syscall.SIGTERM}, series...) {
		p.signal(s)
	}
	select {
	case <-exited:
	case <-time.After(time.Until(began.Add(killAfter))):
		p.kill()
	}
}

// claim takes the process for a restart, unless one is under way.
func (p *Process) claim() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.busy || p.life != up {
		return false
	}
	p.busy = true
	return true
}

// restart starts the process again after a pause.
func (p *Process) restart(pause time.Duration) {
	time.Sleep(pause)
	if err := p.start(); err != nil {
		p.ledger.Violate(RuleReady, "%v", err)
	}
	p.mu.Lock()
	p.busy = false
	p.mu.Unlock()
}

// move gives the pooler another address of discovery, and tells it by so many SIGHUPs.
func (p *Process) move(times int) error {
	next, err := p.dir.open()
	if err != nil {
		return err
	}
	p.mu.Lock()
	old := p.door
	p.door = next
	err = p.configure()
	p.mu.Unlock()
	old.leave()
	for range times {
		p.signal(syscall.SIGHUP)
		time.Sleep(20 * time.Millisecond)
	}
	return err
}

// squeeze leaves the process no descriptor, or so many, for a while.
func (p *Process) squeeze(spare int, d time.Duration) {
	pid := p.pid()
	if pid == 0 {
		return
	}
	limit := uint64(0)
	for held := 0; held <= spare; limit++ {
		if _, err := os.Lstat(fmt.Sprintf("/proc/%d/fd/%d", pid, limit)); err != nil {
			held++
		}
	}
	var old unix.Rlimit
	if unix.Prlimit(pid, unix.RLIMIT_NOFILE, nil, &old) != nil {
		return
	}
	p.ledger.Hinder(p.Name, d)
	_ = unix.Prlimit(pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: limit - 1, Max: old.Max}, nil)
	time.Sleep(d)
	_ = unix.Prlimit(pid, unix.RLIMIT_NOFILE, &old, nil)
}

// stand stops the process for a while.
func (p *Process) stand(d time.Duration) {
	p.signal(syscall.SIGSTOP)
	time.Sleep(d)
	p.signal(syscall.SIGCONT)
}

// attachTime bounds how long strace may need to attach and to let go, in which the process may stand still.
const attachTime = 300 * time.Millisecond

// inject has a system call of the process fail with an error for a while: each time, or the first few times.
func (p *Process) inject(call, errno, when string, d time.Duration) {
	pid := p.pid()
	if pid == 0 {
		return
	}
	p.ledger.Hinder(p.Name, d+attachTime)
	cmd := exec.Command("strace", "-f", "-qq", "-o", os.DevNull, "-p", fmt.Sprint(pid), "-e", "trace="+call,
		"-e", "inject="+call+":error="+errno+":when="+when)
	if cmd.Start() != nil {
		return
	}
	time.Sleep(d)
	_ = cmd.Process.Signal(syscall.SIGTERM)
	_ = cmd.Wait()
	p.ledger.Hinder(p.Name, attachTime)
}

// Start is the number of the process's present start, or of its last.
func (p *Process) Start() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.fates) - 1
}

// Fate tells what became of a start so far.
func (p *Process) Fate(start int) Fate {
	p.mu.Lock()
	defer p.mu.Unlock()
	if start < 0 || start >= len(p.fates) {
		return Fate{}
	}
	return *p.fates[start]
}

// close ends the process and what belongs to it.
func (p *Process) close() {
	p.mu.Lock()
	running := p.cmd != nil && p.life != down
	p.mu.Unlock()
	if running {
		p.kill()
	}
	p.door.close()
	_ = p.log.Close()
}

// judgeLog looks for what the pooler itself counts as broken.
func (p *Process) judgeLog() {
	f, err := os.Open(p.logPath)
	if err != nil {
		return
	}
	defer f.Close()
	b, _ := io.ReadAll(f)
	for _, line := range strings.Split(string(b), "\n") {
		if strings.Contains(line, "invariant violated") || strings.HasPrefix(line, "panic:") || strings.HasPrefix(line, "fatal error:") {
			p.ledger.Violate(RuleInvariant, "%s: %.300s", p.Name, line)
		}
	}
}
