// Command review-stand-in plays a case of the review: it starts the gateways with the
// command of the deploy file, stands in for the store, the leaves and the clients, and
// checks a rule. It is run in the root of the repository.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// outcome is the result of a case. Its err is set if the case could not run.
type outcome struct {
	broken  bool
	summary string
	err     error
}

var cases = map[string]func(r *record, trouble bool) outcome{
	"directory":             playDirectory,
	"cold-start":            playColdStart,
	"deferral":              playDeferral,
	"readers-drain":         playReadersDrain,
	"readers-configuration": playReadersConfiguration,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		_, _ = fmt.Fprintln(os.Stderr, "usage: review-stand-in CASE FOLDER")
		return exitNotRun
	}
	r, err := openRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		<-signals
		endProcesses()
		os.Exit(exitNotRun)
	}()
	o := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	code, verdict := exitHeld, "the rule held"
	switch {
	case o.err != nil:
		code, verdict = exitNotRun, "the case could not run: "+o.err.Error()
	case o.broken:
		code, verdict = exitBroken, "the rule was broken"
	}
	r.add("%s", o.summary)
	r.add("%s", verdict)
	_, _ = fmt.Fprintf(os.Stdout, "%s\n%s\n", o.summary, verdict)
	return code
}
