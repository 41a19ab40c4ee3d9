package stand

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Case is the surroundings of one case.
type Case struct {
	Root    string // of the repository
	Folder  string // of the case
	Temp    string // a folder that is removed at the end
	Trouble bool   // false with TROUBLE=0
	Record  *Record
}

// Main runs a case and ends the process: with 1 if the rule was broken, 0 if it held and 2 if the case could not run. run
// returns in what way the rule was broken, or "". The arguments are the repository's root and the case's folder.
func Main(limit time.Duration, run func(c *Case) (broken string, err error)) {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: CASE root folder")
		os.Exit(2)
	}
	c := &Case{Root: os.Args[1], Folder: os.Args[2], Trouble: os.Getenv("TROUBLE") != "0"}
	var err error
	if c.Temp, err = os.MkdirTemp("", "case"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if c.Record, err = OpenRecord(filepath.Join(c.Folder, "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	code := 2
	done := make(chan struct{})
	go func() {
		defer close(done)
		broken, err := run(c)
		switch {
		case err != nil:
			c.Record.Say("the case could not run: %v", err)
		case broken != "":
			code = 1
			c.Record.Say("BROKEN: %s", broken)
		default:
			code = 0
			c.Record.Say("held")
		}
	}()
	select {
	case <-done:
	case <-time.After(limit):
		c.Record.Say("the case could not run: it took over %v", limit)
	}
	c.Record.Close()
	os.RemoveAll(c.Temp)
	os.Exit(code) // the poolers are ended with this process
}
