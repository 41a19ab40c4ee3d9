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
		Usage: "play random faults over real poolers and judge the runs",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "program", Value: "bin/beechgrade", Usage: "the pooler's binary"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "of the first run; each further one has the next"},
			&cli.IntFlag{Name: "runs", Value: 1, Usage: "how many runs, one after the other"},
			&cli.IntFlag{Name: "poolers", Value: 24, Usage: "processes in a run"},
			&cli.IntFlag{Name: "clients", Value: 4, Usage: "of each pooler"},
			&cli.DurationFlag{Name: "length", Value: 20 * time.Second, Usage: "of the time in which faults begin, in each run"},
			&cli.StringFlag{Name: "report", Usage: "a file for the reports, one JSON object a line"},
			&cli.StringFlag{Name: "keep", Usage: "a folder for the poolers' configurations and logs, which stay"},
			&cli.BoolFlag{Name: "verbose", Aliases: []string{"v"}, Usage: "log each fault"},
		},
		Action: soak,
	}
}

// soak plays the runs that the flags ask for.
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
	broken, first := 0, c.Uint64("seed")
	for i := range c.Int("runs") {
		r, err := emulator.Run(ctx, emulator.Options{Program: c.String("program"), Seed: first + uint64(i), Poolers: c.Int("poolers"),
			Clients: c.Int("clients"), Length: c.Duration("length"), Log: log, Folder: c.String("keep")})
		if err != nil {
			return fmt.Errorf("seed %d: %w", first+uint64(i), err)
		}
		r.Print(c.Root().Writer)
		if err := json.NewEncoder(reports).Encode(r); err != nil {
			return fmt.Errorf("report: %w", err)
		}
		if len(r.Violations) > 0 {
			broken++
		}
	}
	fmt.Fprintf(c.Root().Writer, "%d runs passed, %d failed\n", c.Int("runs")-broken, broken)
	if broken > 0 {
		return fmt.Errorf("%d of %d runs broke a rule", broken, c.Int("runs"))
	}
	return nil
}
