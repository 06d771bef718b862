package anvilcommand

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"regexp"
	"slices"
	"strings"
)

// explainCommand prints the log lines of gateways about a request, and those about
// the leaves that the lines of the request name.
type explainCommand struct {
	Request string   `help:"Id of the request." required:""`
	Files   []string `arg:"" help:"Log files of the gateways." type:"existingfile"`
}

// maxLogLineBytes is the maximum length of a log line.
const maxLogLineBytes = 1 << 20

var (
	timePattern  = regexp.MustCompile(`\btime=(\S+)`)
	eventPattern = regexp.MustCompile(`\bevent=(\S+)`)
	leafPattern  = regexp.MustCompile(`\bleaf=(\S+)`)
	// missingPattern matches a comma-separated list of service:cause:leaf+leaf.
	missingPattern = regexp.MustCompile(`\bmissing=(\S+)`)
)

// leafStateEvents are the events that change the state of a leaf at a gateway.
var leafStateEvents = map[string]bool{
	"leaf-entry":            true,
	"leaf-entry-unreadable": true,
	"leaf-removed":          true,
	"leaf-ejected":          true,
	"leaf-returned":         true,
	"leaf-leaving":          true,
	"leaf-deferred":         true,
}

// Run prints the lines, sorted by time.
func (c *explainCommand) Run(out *output) error {
	leaves := make(map[string]bool)
	var lines []string
	for _, file := range c.Files {
		err := forEachLine(file, func(line string) {
			if hasField(line, "request", c.Request) {
				lines = append(lines, line)
				addLeaves(line, leaves)
			}
		})
		if err != nil {
			return err
		}
	}
	if len(lines) == 0 {
		return fmt.Errorf("request %s not found in %s", c.Request, strings.Join(c.Files, ", "))
	}
	for _, file := range c.Files {
		err := forEachLine(file, func(line string) {
			leaf, event := leafPattern.FindStringSubmatch(line), eventPattern.FindStringSubmatch(line)
			if leaf != nil && event != nil && leaves[leaf[1]] && leafStateEvents[event[1]] {
				lines = append(lines, line)
			}
		})
		if err != nil {
			return err
		}
	}
	slices.SortStableFunc(lines, func(a, b string) int { return strings.Compare(timestampOf(a), timestampOf(b)) })
	for _, line := range lines {
		_, _ = fmt.Fprintln(out.stdout, line)
	}
	return nil
}

func forEachLine(path string, visit func(line string)) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	return scanLines(file, visit)
}

func scanLines(r io.Reader, visit func(line string)) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		visit(scanner.Text())
	}
	return scanner.Err()
}

// hasField reports whether a log line has a field with the given name and value.
func hasField(line, name, value string) bool {
	return slices.Contains(strings.Fields(line), name+"="+value)
}

// addLeaves adds the leaves that a log line names.
func addLeaves(line string, leaves map[string]bool) {
	if match := leafPattern.FindStringSubmatch(line); match != nil {
		leaves[match[1]] = true
	}
	match := missingPattern.FindStringSubmatch(line)
	if match == nil {
		return
	}
	for part := range strings.SplitSeq(match[1], ",") {
		if fields := strings.SplitN(part, ":", 3); len(fields) == 3 {
			for leaf := range strings.SplitSeq(fields[2], "+") {
				leaves[leaf] = true
			}
		}
	}
}

func timestampOf(line string) string {
	if match := timePattern.FindStringSubmatch(line); match != nil {
		return match[1]
	}
	return ""
}
