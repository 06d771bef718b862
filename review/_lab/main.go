// Command lab runs the scripts of the review: it starts the gateways of the deploy file as
// processes on loopback addresses, beside stand-ins of the platform's store, of leaves and of
// clients, and writes what was sent, answered and run to a record.
//
// Usage: lab SCENARIO FOLDER. It is started in the root of the repository and writes
// record.txt in FOLDER. TROUBLE=0 leaves the disruption out. The exit status is 1 if the rule
// was broken, 0 if it held and 2 if the case could not run.
package main

import (
	_ "embed"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNoRun  = 2
)

//go:embed words.txt
var wordList string

// words maps the keys used in this program to the names on the wire.
var words = parseWords(wordList)

func parseWords(list string) map[string]string {
	parsed := make(map[string]string)
	for line := range strings.Lines(list) {
		key, value, _ := strings.Cut(strings.TrimSpace(line), "=")
		parsed[key] = value
	}
	return parsed
}

// word returns a name on the wire.
func word(key string) string {
	value, ok := words[key]
	if !ok {
		panic("unknown word " + key)
	}
	return value
}

// record writes the lines of a run with their time since its start. It is safe for
// concurrent use.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{
		file:    file,
		started: time.Now(),
	}, nil
}

func (r *record) add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, values...))
}

// scenarios maps names to functions that run a scenario and report whether the rule was
// broken.
var scenarios = map[string]func(*lab) (broken bool, err error){
	"crowded-gateway": crowdedGateway,
	"late-requests":   lateRequests,
	"busy-leaf":       busyLeaf,
}

// maxRunTime bounds a run.
const maxRunTime = 118 * time.Second

// endEarly ends the run with exitNoRun on a signal or after maxRunTime. The gateways are killed
// when this process ends.
func (l *lab) endEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case received := <-signals:
		l.rec.add("could not run to the end: %v", received)
	case <-time.After(maxRunTime):
		l.rec.add("could not run to the end within %v", maxRunTime)
	}
	_ = os.RemoveAll(l.dir)
	os.Exit(exitNoRun)
}

func main() {
	// The gateways get a signal when the thread that started them ends.
	runtime.LockOSThread()
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab SCENARIO FOLDER")
		return exitNoRun
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNoRun
	}
	l, err := newLab(rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNoRun
	}
	defer l.close()
	go l.endEarly()
	broken, err := scenarios[os.Args[1]](l)
	switch {
	case err != nil:
		rec.add("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNoRun
	case broken:
		rec.add("verdict: the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	default:
		rec.add("verdict: the rule held")
		fmt.Println("the rule held")
		return exitHeld
	}
}
