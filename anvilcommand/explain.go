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

// explainCommand prints what gateways logged of a request and of the leafs that it
// names.
type explainCommand struct {
	Request string   `help:"Id of the request." required:""`
	Files   []string `arg:"" help:"Log files of the gateways." type:"existingfile"`
}

// maxLogLine bounds a line of a log.
const maxLogLine = 1 << 20

var (
	timeField  = regexp.MustCompile(`\btime=(\S+)`)
	eventField = regexp.MustCompile(`\bevent=(\S+)`)
	leafField  = regexp.MustCompile(`\bleaf=(\S+)`)
	// missingField lists parts as service:cause:leaf+leaf.
	missingField = regexp.MustCompile(`\bmissing=(\S+)`)
)

// beliefEvents change what a node believes of a leaf.
var beliefEvents = map[string]bool{
	"leaf-entry":            true,
	"leaf-entry-unreadable": true,
	"leaf-removed":          true,
	"leaf-ejected":          true,
	"leaf-returned":         true,
	"leaf-leaving":          true,
	"leaf-deferred":         true,
}

// Run prints the lines in the order of time.
func (c *explainCommand) Run(out *output) error {
	leafs := make(map[string]bool)
	var lines []string
	for _, file := range c.Files {
		err := eachLine(file, func(line string) {
			if hasField(line, "request", c.Request) {
				lines = append(lines, line)
				noteLeafs(line, leafs)
			}
		})
		if err != nil {
			return err
		}
	}
	if len(lines) == 0 {
		return fmt.Errorf("no line of request %s in %s", c.Request, strings.Join(c.Files, ", "))
	}
	for _, file := range c.Files {
		err := eachLine(file, func(line string) {
			leaf, event := leafField.FindStringSubmatch(line), eventField.FindStringSubmatch(line)
			if leaf != nil && event != nil && leafs[leaf[1]] && beliefEvents[event[1]] {
				lines = append(lines, line)
			}
		})
		if err != nil {
			return err
		}
	}
	slices.SortStableFunc(lines, func(a, b string) int { return strings.Compare(timeOf(a), timeOf(b)) })
	for _, line := range lines {
		_, _ = fmt.Fprintln(out.stdout, line)
	}
	return nil
}

func eachLine(path string, visit func(line string)) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	return scanLines(file, visit)
}

func scanLines(r io.Reader, visit func(line string)) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		visit(scanner.Text())
	}
	return scanner.Err()
}

// hasField reports whether a line has the field with the value.
func hasField(line, name, value string) bool {
	return slices.Contains(strings.Fields(line), name+"="+value)
}

// noteLeafs adds the leafs that a line of a request names.
func noteLeafs(line string, leafs map[string]bool) {
	if m := leafField.FindStringSubmatch(line); m != nil {
		leafs[m[1]] = true
	}
	m := missingField.FindStringSubmatch(line)
	if m == nil {
		return
	}
	for part := range strings.SplitSeq(m[1], ",") {
		if fields := strings.SplitN(part, ":", 3); len(fields) == 3 {
			for leaf := range strings.SplitSeq(fields[2], "+") {
				leafs[leaf] = true
			}
		}
	}
}

func timeOf(line string) string {
	if m := timeField.FindStringSubmatch(line); m != nil {
		return m[1]
	}
	return ""
}
