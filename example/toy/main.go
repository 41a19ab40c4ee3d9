// Command toy emulates the db servers, discovery and clients of poolers. "serve" runs one group of three small servers, which
// share a table in memory and of which the first is the primary, and a discovery that lists them, for experiments by hand.
// "soak" starts real poolers as processes of their own among emulated servers, discovery and clients, injects random faults
// that are drawn from a seed and may overlap, and checks the runs against invariants. It exits with status 1 if one is
// violated.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
)

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "toy:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:           "toy",
		Usage:          "emulated servers, discovery and clients for poolers",
		DefaultCommand: "serve",
		Commands:       []*cli.Command{serveCommand(), soakCommand()},
	}
}

func serveCommand() *cli.Command {
	listen := &cli.StringFlag{Name: "discovery", Value: "127.0.0.1:8500", Usage: "address at which discovery listens"}
	return &cli.Command{
		Name:   "serve",
		Usage:  "run one group of three servers and a discovery until interrupted",
		Flags:  []cli.Flag{listen},
		Action: func(_ context.Context, c *cli.Command) error { return run(c.String("discovery")) },
	}
}
