package stand

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// Pooler is a process of the project, started with the command of the deploy file.
type Pooler struct {
	Listen string
	Dir    string
	cmd    *exec.Cmd
	done   chan struct{}
	err    error
}

// FreePort returns a loopback address that is free now.
func FreePort() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// StartPooler starts a pooler from the root of the repository, with its configuration and log in dir.
func StartPooler(root, dir, name, discovery string, limits, settings map[string]any, known List) (*Pooler, error) {
	deploy, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return nil, err
	}
	m := regexp.MustCompile(`(?m)^run = "(.*)"`).FindSubmatch(deploy)
	if m == nil {
		return nil, errors.New("the deploy file names no run")
	}
	listen, err := FreePort()
	if err != nil {
		return nil, err
	}
	config, err := json.MarshalIndent(map[string]any{"name": name, "listen": listen, "discovery": discovery,
		"seed": "8c1f30d27a5be964", "limits": limits, "known": known, "settings": settings}, "", " ")
	if err != nil {
		return nil, err
	}
	path := filepath.Join(dir, name+".json")
	if err := os.WriteFile(path, config, 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return nil, err
	}
	tmp := filepath.Join(dir, name+".tmp")
	if err := os.MkdirAll(tmp, 0o700); err != nil {
		return nil, err
	}
	p := &Pooler{Listen: listen, Dir: dir, done: make(chan struct{})}
	p.cmd = exec.Command("/bin/sh", "-c", string(m[1]))
	p.cmd.Dir, p.cmd.Stdout, p.cmd.Stderr = root, log, log
	for _, e := range os.Environ() {
		if !strings.HasPrefix(e, "EDGE_") && !strings.HasPrefix(e, "TMPDIR=") {
			p.cmd.Env = append(p.cmd.Env, e)
		}
	}
	p.cmd.Env = append(p.cmd.Env, "EDGE_CONFIG="+path, "EDGE_NAME="+name, "EDGE_LISTEN="+listen,
		"EDGE_DISCOVERY="+discovery, "TMPDIR="+tmp)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		p.err = p.cmd.Wait()
		_ = log.Close()
		close(p.done)
	}()
	return p, p.waitReady(10 * time.Second)
}

func (p *Pooler) waitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if p.Exited() {
			return fmt.Errorf("the pooler ended at its start: %v", p.err)
		}
		if c, err := Connect(p.Listen, time.Second); err == nil {
			c.Close()
			return nil
		}
	}
	return errors.New("the pooler is not ready in time")
}

// PID returns the process id.
func (p *Pooler) PID() int { return p.cmd.Process.Pid }

// Exited reports whether the process has ended.
func (p *Pooler) Exited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// Signal sends a signal to the process.
func (p *Pooler) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// CPU returns the processor time that the process has used.
func (p *Pooler) CPU() time.Duration {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID()))
	if err != nil {
		return 0
	}
	f := strings.Fields(string(b[strings.LastIndexByte(string(b), ')')+1:]))
	var user, system int64
	_, _ = fmt.Sscan(f[11], &user)
	_, _ = fmt.Sscan(f[12], &system)
	return time.Duration(user+system) * 10 * time.Millisecond
}

// Kill ends the process.
func (p *Pooler) Kill() {
	if !p.Exited() {
		p.Signal(syscall.SIGCONT)
		p.Signal(syscall.SIGKILL)
		<-p.done
	}
}
