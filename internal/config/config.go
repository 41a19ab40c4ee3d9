// Package config reads the configuration of a pooler from a JSON file and the environment.
package config

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"syscall"

	jsoniter "github.com/json-iterator/go"

	"beechgrade"
	"beechgrade/internal/discovery"
	"beechgrade/internal/wire"
)

// Limits are the resources that the pooler may use.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Config is the configuration of a pooler.
type Config struct {
	Name          string
	Listen        string
	Discovery     string
	Seed          uint64
	Limits        Limits
	LastKnownList discovery.List
	Settings      beechgrade.Settings

	Classes, Zones, MachineTypes []string // the names, at the indices that the router uses
	ReportFields                 []string // the fields of a server's load report
	ConnectTimeoutMs             float64
	IdleTimeoutMs                float64 // how long a connection may be idle until its server closes it
}

// file is the layout of the configuration file.
type file struct {
	Name      string         `json:"name"`
	Listen    string         `json:"listen"`
	Discovery string         `json:"discovery"`
	Seed      string         `json:"seed"`
	Limits    Limits         `json:"limits"`
	Known     discovery.List `json:"known"`
	Settings  map[string]any `json:"settings"`
}

// Defaults of values that may be missing, and limits.
const (
	defaultSockets          = 1024
	defaultMemoryMB         = 192
	minSockets              = 128
	maxFileBytes            = 16 << 20
	defaultConnectTimeoutMs = 250
	defaultIdleTimeoutMs    = 30000
)

// errIncomplete means that the file is not valid JSON. It may not be completely written yet.
var errIncomplete = errors.New("not a complete JSON object")

// IsTransient reports whether reading the configuration may succeed soon, because a system call failed or the file is
// incomplete.
func IsTransient(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) || errors.Is(err, errIncomplete)
}

// Load reads the file that EDGE_CONFIG names. EDGE_NAME, EDGE_LISTEN and EDGE_DISCOVERY override its values.
func Load(env func(string) string) (*Config, error) { return load(env, false) }

func load(env func(string) string, reload bool) (*Config, error) {
	path := env("EDGE_CONFIG")
	if path == "" {
		return nil, errors.New("EDGE_CONFIG: not set; it must name the configuration file")
	}
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("EDGE_CONFIG: %w", err)
	}
	defer func() { _ = f.Close() }()
	b, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err != nil {
		return nil, fmt.Errorf("EDGE_CONFIG: %w", err)
	}
	if len(b) > maxFileBytes {
		return nil, fmt.Errorf("EDGE_CONFIG: %s: file is larger than %d bytes", path, maxFileBytes)
	}
	c, err := parse(b, env, reload)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// Reload reads the file again while the program serves. The address of discovery in the file overrides EDGE_DISCOVERY,
// because the environment of a running process cannot be changed.
func Reload(env func(string) string) (*Config, error) {
	return load(env, true)
}

// Apply copies from next the values that can change while the program serves. It returns the names of the values that it
// changed, and of those that differ but need a restart. LastKnownList and Seed are ignored: they are used only at the start.
func (c *Config) Apply(next *Config) (changed, needRestart []string) {
	update := func(name string, differs bool, apply func()) {
		switch {
		case differs && apply != nil:
			apply()
			changed = append(changed, name)
		case differs:
			needRestart = append(needRestart, name)
		}
	}
	update("discovery", c.Discovery != next.Discovery, func() { c.Discovery = next.Discovery })
	update("limits", c.Limits != next.Limits, func() { c.Limits = next.Limits })
	update("connect_timeout_ns", c.ConnectTimeoutMs != next.ConnectTimeoutMs, func() { c.ConnectTimeoutMs = next.ConnectTimeoutMs })
	update("idle_close_ns", c.IdleTimeoutMs != next.IdleTimeoutMs, func() { c.IdleTimeoutMs = next.IdleTimeoutMs })
	update("name", c.Name != next.Name, nil)
	update("listen", c.Listen != next.Listen, nil)
	update("settings", !reflect.DeepEqual(c.Settings, next.Settings), nil)
	update("request classes' names", !slices.Equal(c.Classes, next.Classes), nil)
	return changed, needRestart
}

func parse(b []byte, env func(string) string, reload bool) (*Config, error) {
	var f file
	dec := jsoniter.ConfigCompatibleWithStandardLibrary.NewDecoder(bytes.NewReader(b))
	dec.UseNumber()
	if err := dec.Decode(&f); err != nil {
		return nil, fmt.Errorf("%w: %w", errIncomplete, err)
	}
	c := &Config{Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, Limits: f.Limits, LastKnownList: f.Known}
	for name, field := range map[string]*string{"EDGE_NAME": &c.Name, "EDGE_LISTEN": &c.Listen, "EDGE_DISCOVERY": &c.Discovery} {
		if v := env(name); v != "" && !(reload && field == &c.Discovery && c.Discovery != "") {
			*field = v
		}
	}
	for name, addr := range map[string]string{"listen": c.Listen, "discovery": c.Discovery} {
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
	}
	if f.Seed != "" {
		var err error
		if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
			return nil, fmt.Errorf("seed: %w", err)
		}
	}
	if c.Limits.Sockets == 0 {
		c.Limits.Sockets = defaultSockets
	}
	if c.Limits.MemoryMB == 0 {
		c.Limits.MemoryMB = defaultMemoryMB
	}
	if c.Limits.Sockets < minSockets || c.Limits.MemoryMB < 0 {
		return nil, fmt.Errorf("limits: got %d sockets and %d MB; want at least %d sockets",
			c.Limits.Sockets, c.Limits.MemoryMB, minSockets)
	}
	return c, c.parseSettings(f.Settings)
}

// parseSettings sets the fields that come from the settings of the file.
func (c *Config) parseSettings(tree map[string]any) error {
	pairs := map[string]string{}
	flatten(pairs, "", tree)
	var err error
	if c.Settings, _, err = wire.Settings(pairs); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	for i := range c.Settings.Classes {
		c.Classes = append(c.Classes, pairs["request_classes."+strconv.Itoa(i)+".name"])
	}
	if len(c.Classes) == 0 {
		return errors.New("settings: request_classes: none given")
	}
	c.Zones, c.MachineTypes, c.ReportFields =
		splitNames(pairs["zones"]), splitNames(pairs["kinds"]), splitNames(pairs["telemetry.fields"])
	if c.ConnectTimeoutMs, err = nanosToMs(pairs, "allowed.connect_timeout_ns", defaultConnectTimeoutMs); err != nil {
		return err
	}
	c.IdleTimeoutMs, err = nanosToMs(pairs, "allowed.idle_close_ns", defaultIdleTimeoutMs)
	return err
}

// splitNames splits a comma-separated list.
func splitNames(list string) []string {
	if list == "" {
		return nil
	}
	return strings.Split(list, ",")
}

// nanosToMs returns the time in nanoseconds under key converted to milliseconds, or defaultMs if it is not set.
func nanosToMs(pairs map[string]string, key string, defaultMs float64) (float64, error) {
	v := pairs[key]
	if v == "" {
		return defaultMs, nil
	}
	ns, err := strconv.ParseFloat(v, 64)
	if err != nil || !(ns > 0) {
		return 0, fmt.Errorf("settings: %s: want a time in nanoseconds above 0, got %q", key, v)
	}
	return ns / 1e6, nil
}

// flatten converts nested settings to the form of the simulator's wire protocol: the keys of a path are joined by dots,
// lists of scalars are joined by commas, and the length of a list of objects is stored under .count.
func flatten(out map[string]string, path string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for k, x := range v {
			if path != "" {
				k = path + "." + k
			}
			flatten(out, k, x)
		}
	case []any:
		var scalars []string
		objects := 0
		for _, x := range v {
			if m, ok := x.(map[string]any); ok {
				flatten(out, path+"."+strconv.Itoa(objects), m)
				objects++
				continue
			}
			scalars = append(scalars, fmt.Sprint(x))
		}
		if objects > 0 {
			out[path+".count"] = strconv.Itoa(objects)
			return
		}
		out[path] = strings.Join(scalars, ",")
	case nil:
	default:
		out[path] = fmt.Sprint(v)
	}
}
