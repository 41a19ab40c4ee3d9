// Command beechgrade-sim connects the router to the simulator's wire protocol on standard input and output. It runs many
// instances with one router each. The instances share no state, and the command makes no routing decisions.
package main

import (
	"bufio"
	"fmt"
	"io"
	"os"

	"beechgrade"
	"beechgrade/internal/wire"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "beechgrade-sim:", err)
		os.Exit(1)
	}
}

// run replies to batches until the input ends.
func run(in io.Reader, out io.Writer) error {
	decoder := wire.NewDecoder(in)
	writer := bufio.NewWriterSize(out, 1<<20)
	routers := map[int]*beechgrade.Router{}
	var reply wire.Reply
	var actions []beechgrade.Action
	for {
		batch, err := decoder.Next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		reply.Reset()
		for i := range batch.Items {
			item := &batch.Items[i]
			switch item.Kind {
			case wire.Start:
				routers[item.Instance] = beechgrade.New(item.Settings, item.Seed)
			case wire.Stop:
				delete(routers, item.Instance)
			case wire.Deliver:
				router := routers[item.Instance]
				if router == nil {
					continue
				}
				var panicText string
				actions, panicText = handle(router, batch.Now, item.Event, actions[:0])
				if panicText != "" {
					reply.AddFault(item.Instance, panicText)
				}
				for k := range actions {
					reply.Add(item.Instance, &actions[k])
				}
			}
		}
		if _, err := writer.Write(reply.Bytes()); err != nil {
			return fmt.Errorf("write reply: %w", err)
		}
		if err := writer.Flush(); err != nil {
			return fmt.Errorf("write reply: %w", err)
		}
	}
}

// handle passes one event to a router. It recovers from a panic and returns its text, so that the reply can report it.
func handle(r *beechgrade.Router, now beechgrade.Time, e beechgrade.Event, out []beechgrade.Action) (
	actions []beechgrade.Action, panicText string,
) {
	defer func() {
		if p := recover(); p != nil {
			actions, panicText = nil, fmt.Sprint("panic: ", p)
		}
	}()
	return r.Handle(now, e, out), ""
}
