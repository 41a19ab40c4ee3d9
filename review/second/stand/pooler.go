package stand

import (
	"encoding/json"
	"errors"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Pooler is one real pooler, started with the command of the deploy file.
type Pooler struct {
	Addr   string
	Config string // its configuration file
	cmd    *exec.Cmd
	done   chan struct{}
	err    error
}

// FreeAddr returns a loopback address on which nobody listens.
func FreeAddr() (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// RunCommand returns the command that the deploy file under root gives for a pooler.
func RunCommand(root string) (string, error) {
	b, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	m := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(b)
	if m == nil {
		return "", errors.New("no command in the deploy file")
	}
	return string(m[1]), nil
}

// WriteConfig writes a configuration file whole.
func WriteConfig(path string, config map[string]any) error {
	b, err := json.Marshal(config)
	if err != nil {
		return err
	}
	if err := os.WriteFile(path+".new", b, 0o644); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// StartPooler starts a pooler in the folder root, with its configuration and log in the folder dir.
func StartPooler(root, dir, name string, config map[string]any) (*Pooler, error) {
	run, err := RunCommand(root)
	if err != nil {
		return nil, err
	}
	p := &Pooler{Config: filepath.Join(dir, name+".json"), done: make(chan struct{})}
	p.Addr, _ = config["listen"].(string)
	if p.Addr == "" {
		if p.Addr, err = FreeAddr(); err != nil {
			return nil, err
		}
		config["listen"] = p.Addr
	}
	config["name"] = name
	if err := WriteConfig(p.Config, config); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	discovery, _ := config["discovery"].(string)
	p.cmd = exec.Command("/bin/sh", "-c", run)
	p.cmd.Dir, p.cmd.Stdout, p.cmd.Stderr = root, log, log
	p.cmd.Env = append(os.Environ(), "EDGE_NAME="+name, "EDGE_LISTEN="+p.Addr, "EDGE_DISCOVERY="+discovery,
		"EDGE_CONFIG="+p.Config, "TMPDIR="+dir)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// Ready waits until the pooler answers an empty query.
func (p *Pooler) Ready(timeout time.Duration) error {
	c, err := Connect(p.Addr, timeout)
	if err == nil {
		c.Close()
	}
	return err
}

// Signal sends a signal to the pooler.
func (p *Pooler) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// Ended reports whether the pooler has ended, and how.
func (p *Pooler) Ended() (bool, error) {
	select {
	case <-p.done:
		return true, p.err
	default:
		return false, nil
	}
}

// Kill ends the pooler at once.
func (p *Pooler) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// ResidentKB returns the resident memory of the pooler: the present and the highest, in kB.
func (p *Pooler) ResidentKB() (now, peak int) { return p.statusKB("VmRSS:"), p.statusKB("VmHWM:") }

// AnonymousKB returns the part of the pooler's present resident memory that belongs to no file, in kB.
func (p *Pooler) AnonymousKB() int { return p.statusKB("RssAnon:") }

func (p *Pooler) statusKB(name string) int {
	b, _ := os.ReadFile("/proc/" + strconv.Itoa(p.cmd.Process.Pid) + "/status")
	for _, l := range strings.Split(string(b), "\n") {
		if f := strings.Fields(l); len(f) >= 2 && f[0] == name {
			kb, _ := strconv.Atoi(f[1])
			return kb
		}
	}
	return 0
}
