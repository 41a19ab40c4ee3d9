package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"beechgrade/internal/emulator"
)

func soakCommand() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run real poolers under random faults and check them against invariants",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "program", Value: "bin/beechgrade", Usage: "path of the pooler's binary"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the first run; each further run uses the next one"},
			&cli.IntFlag{Name: "runs", Value: 1, Usage: "number of runs, one after the other"},
			&cli.IntFlag{Name: "poolers", Value: 24, Usage: "number of pooler processes in a run"},
			&cli.IntFlag{Name: "clients", Value: 4, Usage: "number of clients per pooler"},
			&cli.IntFlag{Name: "bad-clients", Usage: "number of floods and crowds of slow writers in a run"},
			&cli.DurationFlag{Name: "length", Value: 20 * time.Second, Usage: "length of each run's period in which faults begin"},
			&cli.StringFlag{Name: "report", Usage: "file for the reports, one JSON object per line"},
			&cli.StringFlag{Name: "keep", Usage: "directory in which the poolers' configurations and logs are kept"},
			&cli.BoolFlag{Name: "verbose", Aliases: []string{"v"}, Usage: "log each fault"},
		},
		Action: soak,
	}
}

// soak performs the runs that the flags describe.
func soak(ctx context.Context, c *cli.Command) error {
	level := slog.LevelInfo
	if c.Bool("verbose") {
		level = slog.LevelDebug
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	var reports io.Writer = io.Discard
	if path := c.String("report"); path != "" {
		f, err := os.Create(path)
		if err != nil {
			return err
		}
		defer f.Close()
		reports = f
	}
	failedRuns, firstSeed := 0, c.Uint64("seed")
	for i := range c.Int("runs") {
		report, err := emulator.Run(ctx, emulator.Options{Program: c.String("program"), Seed: firstSeed + uint64(i),
			Poolers: c.Int("poolers"), Clients: c.Int("clients"), Length: c.Duration("length"),
			BadClients: c.Int("bad-clients"), Log: log, WorkDir: c.String("keep")})
		if err != nil {
			return fmt.Errorf("seed %d: %w", firstSeed+uint64(i), err)
		}
		report.Print(c.Root().Writer)
		if err := json.NewEncoder(reports).Encode(report); err != nil {
			return fmt.Errorf("report: %w", err)
		}
		if len(report.Violations) > 0 {
			failedRuns++
		}
	}
	fmt.Fprintf(c.Root().Writer, "%d runs passed, %d failed\n", c.Int("runs")-failedRuns, failedRuns)
	if failedRuns > 0 {
		return fmt.Errorf("%d of %d runs broke a rule", failedRuns, c.Int("runs"))
	}
	return nil
}
