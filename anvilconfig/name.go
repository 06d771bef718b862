package anvilconfig

import (
	"regexp"
	"slices"
	"strconv"
	"strings"
)

const (
	maxNameLength = 63
	nameSyntax    = "name of lower-case letters, digits and hyphens that begins with a letter, at most 63 characters"
	// maxListedNames is the maximum number of accepted names that a finding lists.
	maxListedNames = 20
)

var (
	namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]*$`)
	// reservedWords are scalars that YAML parsers may not read as strings unless
	// they are quoted.
	reservedWords = []string{"false", "n", "no", "null", "off", "on", "true", "y", "yes"}
)

func isValidName(text string) bool {
	return len(text) <= maxNameLength && namePattern.MatchString(text)
}

func invalidNameMessage(text string) string {
	return "not a name: " + strconv.Quote(text)
}

// formatName returns a name as a YAML scalar, quoted if necessary.
func formatName[N ~string](name N) string {
	if slices.Contains(reservedWords, string(name)) {
		return strconv.Quote(string(name))
	}
	return string(name)
}

// oneOf returns the text of a finding that lists the accepted names.
func oneOf(names []string) string {
	if len(names) == 0 {
		return "none"
	}
	if len(names) > maxListedNames {
		return "one of " + strings.Join(names[:maxListedNames], ", ") + " and " +
			strconv.Itoa(len(names)-maxListedNames) + " more"
	}
	return "one of " + strings.Join(names, ", ")
}
