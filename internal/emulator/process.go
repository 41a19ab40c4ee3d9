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

// Process is a real pooler: one program, started any number of times under one name and address.
type Process struct {
	Name string

	program     string
	listen      string
	configPath  string
	logPath     string
	poolerCount int // number of poolers in the run
	disc        *Discovery
	ledger      *Ledger
	rng         *rand.Rand
	descriptors descriptorFaults

	mu         sync.Mutex
	endpoint   *endpoint
	cmd        *exec.Cmd
	exited     chan struct{}
	state      processState
	executions []*Execution // one for each start; the last one may still be running
	restarting bool         // whether a restart is under way
	logFile    *os.File
}

// processState is the state of the process from the operator's point of view.
type processState int

// The states of a process.
const (
	// stateDown means that the process is not running.
	stateDown processState = iota
	// stateUp means that the process is running and must not exit by itself.
	stateUp
	// stateTerminating means that the process has been sent SIGTERM.
	stateTerminating
)

// Execution is one execution of a process, from its start to its exit. Each time is zero until the event has happened.
type Execution struct {
	TermAt   time.Time // when SIGTERM was sent
	KilledAt time.Time // when SIGKILL was sent
	ExitedAt time.Time // when its exit was noticed
}

// poolerPort is the port at which all poolers listen, each at an address of its own.
const poolerPort = 6543

// poolerAddr returns the loopback address of one pooler of one run. No other socket of this machine is bound to it, so it
// stays free while its pooler is down.
func poolerAddr(seed uint64, index int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", 1+seed%200, index/250, 1+index%250, poolerPort)
}

// String describes the execution.
func (e Execution) String() string {
	text := "started"
	for name, at := range map[string]time.Time{"SIGTERM": e.TermAt, "SIGKILL": e.KilledAt, "exited": e.ExitedAt} {
		if !at.IsZero() {
			text += fmt.Sprintf(", %s %v ago", name, time.Since(at).Round(time.Millisecond))
		}
	}
	return text
}

// newProcess prepares a pooler that listens at an address, without starting it.
func newProcess(name, listen, program, workDir string, poolerCount int, disc *Discovery, ledger *Ledger,
	rng *rand.Rand) (*Process, error) {
	p := &Process{Name: name, program: program, listen: listen, configPath: filepath.Join(workDir, name+".json"),
		logPath: filepath.Join(workDir, name+".log"), poolerCount: poolerCount, disc: disc, ledger: ledger, rng: rng}
	var err error
	if p.endpoint, err = disc.openEndpoint(); err != nil {
		return nil, err
	}
	p.logFile, err = os.OpenFile(p.logPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND|os.O_TRUNC, 0o600)
	return p, err
}

// writeConfig writes the configuration file with discovery's present list and endpoint.
func (p *Process) writeConfig() error {
	b, err := configuration(p.Name, p.listen, p.endpoint.addr, p.rng.Uint64(), p.poolerCount, p.disc.Snapshot())
	if err != nil {
		return err
	}
	return os.WriteFile(p.configPath, b, 0o600)
}

// start starts the program and waits until it serves.
func (p *Process) start() error {
	p.mu.Lock()
	if err := p.writeConfig(); err != nil {
		p.mu.Unlock()
		return err
	}
	cmd := exec.Command(p.program, "serve")
	cmd.Env = append(os.Environ(), "EDGE_CONFIG="+p.configPath)
	cmd.Stdout, cmd.Stderr = p.logFile, p.logFile
	exited := make(chan struct{})
	if err := cmd.Start(); err != nil {
		p.mu.Unlock()
		return err
	}
	execution := &Execution{}
	p.cmd, p.exited, p.state, p.executions = cmd, exited, stateUp, append(p.executions, execution)
	p.mu.Unlock()
	go p.wait(cmd, execution, exited)
	return p.waitReady(exited)
}

// wait waits for the exit of the process, and reports it as a violation unless the operator caused it and it is free of errors.
// An exit after SIGKILL is never a violation.
func (p *Process) wait(cmd *exec.Cmd, execution *Execution, exited chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	state, killed := p.state, execution.KilledAt
	p.state, execution.ExitedAt = stateDown, time.Now()
	p.mu.Unlock()
	close(exited)
	switch {
	case !killed.IsZero():
	case state == stateUp:
		p.ledger.AddViolation(RuleCrash, "%s exited unexpectedly: %v", p.Name, cmd.ProcessState)
	case err != nil:
		p.ledger.AddViolation(RuleCrash, "%s exited with an error after SIGTERM: %v", p.Name, err)
	}
}

// waitReady waits until the pooler answers, for readyTimeout at most.
func (p *Process) waitReady(exited chan struct{}) error {
	began := time.Now()
	for time.Since(began) < readyTimeout {
		select {
		case <-exited:
			return fmt.Errorf("%s exited during its start", p.Name)
		default:
		}
		if p.answersStartup() {
			return nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready after %v", p.Name, readyTimeout)
}

// answersStartup reports whether the pooler accepts a startup message, which is followed by an empty query.
func (p *Process) answersStartup() bool {
	conn, err := net.DialTimeout("tcp", p.listen, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	if _, err := conn.Write(pgwire.AppendQuery(pgwire.AppendStartup(nil, "backend", "store"), "")); err != nil {
		return false
	}
	b, _ := bufio.NewReader(conn).ReadByte()
	return b == 'R'
}

// pid returns the process ID, or 0 if no process is running.
func (p *Process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state == stateDown || p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// signal sends a signal if a process is running.
func (p *Process) signal(s syscall.Signal) {
	if pid := p.pid(); pid != 0 {
		_ = syscall.Kill(pid, s)
	}
}

// kill sends SIGKILL and waits until the process has exited.
func (p *Process) kill() {
	p.mu.Lock()
	cmd, exited := p.cmd, p.exited
	if p.state != stateDown {
		p.executions[len(p.executions)-1].KilledAt = time.Now()
		_ = cmd.Process.Kill()
	}
	p.mu.Unlock()
	<-exited
}

// terminate sends SIGTERM and a series of further signals, and waits for the exit. It kills the process after killAfter, the
// earliest moment at which an operator may do so.
func (p *Process) terminate(series []syscall.Signal) {
	p.mu.Lock()
	if p.state != stateUp {
		p.mu.Unlock()
		return
	}
	began, exited := time.Now(), p.exited
	p.state, p.executions[len(p.executions)-1].TermAt = stateTerminating, began
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

// claimRestart reserves the process for a restart. It reports false if a restart is under way or the process is not up.
func (p *Process) claimRestart() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.restarting || p.state != stateUp {
		return false
	}
	p.restarting = true
	return true
}

// restart starts the process again after a pause, and then releases the reservation that claimRestart made.
func (p *Process) restart(pause time.Duration) {
	time.Sleep(pause)
	if err := p.start(); err != nil {
		p.ledger.AddViolation(RuleReady, "%v", err)
	}
	p.mu.Lock()
	p.restarting = false
	p.mu.Unlock()
}

// moveDiscovery gives the pooler another endpoint of discovery, and then sends it the given number of SIGHUPs.
func (p *Process) moveDiscovery(signals int) error {
	next, err := p.disc.openEndpoint()
	if err != nil {
		return err
	}
	p.mu.Lock()
	old := p.endpoint
	p.endpoint = next
	err = p.writeConfig()
	p.mu.Unlock()
	old.closeLater()
	for range signals {
		p.signal(syscall.SIGHUP)
		time.Sleep(20 * time.Millisecond)
	}
	return err
}

// limitDescriptors leaves the process the given number of free file descriptors, possibly none, for the duration d.
func (p *Process) limitDescriptors(free int, d time.Duration) {
	pid := p.pid()
	if pid == 0 {
		return
	}
	limit := uint64(0)
	for unused := 0; unused <= free; limit++ {
		if _, err := os.Lstat(fmt.Sprintf("/proc/%d/fd/%d", pid, limit)); err != nil {
			unused++
		}
	}
	var old unix.Rlimit
	if unix.Prlimit(pid, unix.RLIMIT_NOFILE, nil, &old) != nil {
		return
	}
	p.ledger.MarkImpaired(p.Name, d)
	p.descriptors.begin(pid, old)
	_ = unix.Prlimit(pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: limit - 1, Max: old.Max}, nil)
	time.Sleep(d)
	p.descriptors.end(pid)
}

// descriptorFaults counts the overlapping limits on the descriptors of one process. The limit that the process had before the
// first of them is restored when the last one ends.
type descriptorFaults struct {
	mu       sync.Mutex
	pid      int
	active   int
	original unix.Rlimit
}

// begin records that another limit begins for a process whose present one is given.
func (f *descriptorFaults) begin(pid int, present unix.Rlimit) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.pid != pid || f.active == 0 {
		f.pid, f.active, f.original = pid, 0, present
	}
	f.active++
}

// end records that a limit of a process ends. It does nothing for a process that has been replaced by another one.
func (f *descriptorFaults) end(pid int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.pid != pid {
		return
	}
	if f.active--; f.active == 0 {
		_ = unix.Prlimit(pid, unix.RLIMIT_NOFILE, &f.original, nil)
	}
}

// pause stops the process for the duration d.
func (p *Process) pause(d time.Duration) {
	p.signal(syscall.SIGSTOP)
	time.Sleep(d)
	p.signal(syscall.SIGCONT)
}

// straceAttachTime is the most time that strace may need to attach or to detach. The process may be paused meanwhile.
const straceAttachTime = 300 * time.Millisecond

// injectError makes a system call of the process fail with an error for the duration d: each time, or the first few times, as
// the parameter "when" of strace's injection specifies.
func (p *Process) injectError(call, errno, when string, d time.Duration) {
	pid := p.pid()
	if pid == 0 {
		return
	}
	p.ledger.MarkImpaired(p.Name, d+straceAttachTime)
	cmd := exec.Command("strace", "-f", "-qq", "-o", os.DevNull, "-p", fmt.Sprint(pid), "-e", "trace="+call,
		"-e", "inject="+call+":error="+errno+":when="+when)
	if cmd.Start() != nil {
		return
	}
	time.Sleep(d)
	_ = cmd.Process.Signal(syscall.SIGTERM)
	_ = cmd.Wait()
	p.ledger.MarkImpaired(p.Name, straceAttachTime)
}

// CurrentExecution returns the number of the current execution, or of the last one if the process is down.
func (p *Process) CurrentExecution() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.executions) - 1
}

// Execution returns what is known so far of the execution with that number.
func (p *Process) Execution(number int) Execution {
	p.mu.Lock()
	defer p.mu.Unlock()
	if number < 0 || number >= len(p.executions) {
		return Execution{}
	}
	return *p.executions[number]
}

// close kills the process if it is running, and closes its endpoint of discovery and its log file.
func (p *Process) close() {
	p.mu.Lock()
	running := p.cmd != nil && p.state != stateDown
	p.mu.Unlock()
	if running {
		p.kill()
	}
	p.endpoint.close()
	_ = p.logFile.Close()
}

// checkLog searches the pooler's log for violated invariants, panics and fatal errors.
func (p *Process) checkLog() {
	f, err := os.Open(p.logPath)
	if err != nil {
		return
	}
	defer f.Close()
	b, _ := io.ReadAll(f)
	for _, line := range strings.Split(string(b), "\n") {
		if strings.Contains(line, "invariant violated") || strings.HasPrefix(line, "panic:") ||
			strings.HasPrefix(line, "fatal error:") {
			p.ledger.AddViolation(RuleInvariant, "%s: %.300s", p.Name, line)
		}
	}
}
