// Command beechgrade is a connection pooler for groups of servers that speak the PostgreSQL protocol.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"beechgrade/internal/config"
	"beechgrade/internal/logging"
)

const (
	startupLoadTimeout = 5 * time.Second        // limit for retries while the configuration cannot be read at startup
	logFlushTimeout    = 200 * time.Millisecond // limit for writing the remaining log lines at exit
)

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "beechgrade:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	verbose := &cli.BoolFlag{Name: "verbose", Aliases: []string{"v"}, Usage: "log debug messages"}
	return &cli.Command{
		Name:           "beechgrade",
		Usage:          "a connection pooler for groups of servers that speak the PostgreSQL protocol",
		DefaultCommand: "serve",
		Flags:          []cli.Flag{verbose},
		Commands: []*cli.Command{
			{
				Name:  "serve",
				Usage: "serve clients until SIGTERM, with the configuration file that EDGE_CONFIG names",
				Action: func(_ context.Context, c *cli.Command) error {
					if c.Args().Present() { // serve is the default command: a mistyped command must not run it
						return fmt.Errorf("unknown command or argument %q; see --help", c.Args().First())
					}
					return serve(c.Bool("verbose"))
				},
			},
			{
				Name:  "check",
				Usage: "read the configuration and print a summary",
				Action: func(_ context.Context, c *cli.Command) error {
					cfg, err := config.Load(os.Getenv)
					if err != nil {
						return err
					}
					fmt.Fprintf(c.Root().Writer, "%s: listens on %s, asks %s; %d classes, %d servers known, %d sockets, %d MB\n",
						cfg.Name, cfg.Listen, cfg.Discovery, len(cfg.Classes), len(cfg.LastKnownList.Instances),
						cfg.Limits.Sockets, cfg.Limits.MemoryMB)
					return nil
				},
			},
			{
				Name:  "version",
				Usage: "print the version",
				Action: func(_ context.Context, c *cli.Command) error {
					fmt.Fprintln(c.Root().Writer, "beechgrade", version())
					return nil
				},
			},
		},
	}
}

func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "(devel)"
	}
	return info.Main.Version + " " + info.GoVersion
}

func serve(verbose bool) error {
	// Notify drops a signal if the channel is full. Each purpose has a channel of its own, so that a dropped signal does no
	// harm: the one that fills the channel has the same effect.
	stop, reload := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reload, syscall.SIGHUP)
	// By default, a Go process ends on SIGPIPE from descriptor 1 or 2, so a log line would end it once the log's reader has gone.
	signal.Ignore(syscall.SIGPIPE)
	cfg, err := loadWithRetry(func() (*config.Config, error) { return config.Load(os.Getenv) }, startupLoadTimeout,
		func(error) {})
	if err != nil {
		return err
	}
	level := slog.LevelInfo
	if verbose {
		level = slog.LevelDebug
	}
	logWriter := logging.NewWriter(os.Stderr)
	defer logWriter.Flush(logFlushTimeout)
	log := slog.New(slog.NewTextHandler(logWriter, &slog.HandlerOptions{Level: level})).With("pooler", cfg.Name)
	// The event loop blocks in a system call while it waits. With one processor, the Go runtime runs other goroutines, such as
	// those for timers and dials, only once its monitor thread has taken the processor away, up to 10 ms later. With two
	// processors they run at once.
	runtime.GOMAXPROCS(max(2, runtime.GOMAXPROCS(0)))
	setMemoryLimit(cfg)
	p := newPooler(cfg, log)
	p.loadConfig = func() (*config.Config, error) { return config.Reload(os.Getenv) }
	return p.run(stop, reload)
}

// setMemoryLimit sets the Go runtime's memory limit to 60% of the configured memory. The rest is for memory that the limit does
// not cover, such as that of the kernel's socket buffers, and for moments at which the runtime exceeds the limit.
func setMemoryLimit(cfg *config.Config) {
	debug.SetMemoryLimit(int64(cfg.Limits.MemoryMB) << 20 * 6 / 10)
}
