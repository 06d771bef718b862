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
	// maxListedNames bounds the names listed as accepted in one finding.
	maxListedNames = 20
)

var (
	namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]*$`)
	// reservedWords are plain scalars that YAML readers take for something else
	// than a string.
	reservedWords = []string{"false", "n", "no", "null", "off", "on", "true", "y", "yes"}
)

func isValidName(text string) bool {
	return len(text) <= maxNameLength && namePattern.MatchString(text)
}

func invalidNameMessage(text string) string {
	return "not a name: " + strconv.Quote(text)
}

func formatName[N ~string](n N) string {
	if slices.Contains(reservedWords, string(n)) {
		return strconv.Quote(string(n))
	}
	return string(n)
}

// oneOf lists names as accepted values.
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
