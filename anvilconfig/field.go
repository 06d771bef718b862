package anvilconfig

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// field is a field of the format that is stored in a T. It defines how the value
// is parsed and formatted.
type field[T any] struct {
	key string
	// accepted describes the accepted values, for findings.
	accepted string
	// required means that the field has no default.
	required bool
	// shared means that the field has the same value at all sites.
	shared bool
	// parse stores the value of a node in the target. It returns why the value is
	// not accepted, or "" on success.
	parse func(*T, *yamlNode) (problem string)
	// format returns the value of the field as YAML in canonical form.
	format func(*T) string
}

// asRequired returns a copy of the field that is required.
func (f field[T]) asRequired() field[T] {
	f.required = true
	return f
}

// asShared returns a copy of the field that has the same value at all sites.
func (f field[T]) asShared() field[T] {
	f.shared = true
	return f
}

var (
	integerPattern = regexp.MustCompile(`^-?(0|[1-9][0-9]*)$`)
	decimalPattern = regexp.MustCompile(`^-?(0|[1-9][0-9]*)?(\.[0-9]+)?$`)
)

func integerField[T any](key string, minValue, maxValue int, pointer func(*T) *int) field[T] {
	return field[T]{
		key:      key,
		accepted: fmt.Sprintf("integer from %d to %d", minValue, maxValue),
		parse: func(target *T, n *yamlNode) string {
			if n.kind != kindInteger {
				return wrongTypeMessage(n)
			}
			if !integerPattern.MatchString(n.text) {
				return notDecimalMessage(n)
			}
			value, err := strconv.Atoi(n.text)
			if err != nil || value < minValue || value > maxValue {
				return outOfRangeMessage(n)
			}
			*pointer(target) = value
			return ""
		},
		format: func(target *T) string {
			return strconv.Itoa(*pointer(target))
		},
	}
}

func numberField[T any](key string, minValue, maxValue float64, pointer func(*T) *float64) field[T] {
	return field[T]{
		key:      key,
		accepted: "number from " + formatFloat(minValue) + " to " + formatFloat(maxValue),
		parse: func(target *T, n *yamlNode) string {
			if n.kind != kindInteger && n.kind != kindFloat {
				return wrongTypeMessage(n)
			}
			if !decimalPattern.MatchString(n.text) {
				return notDecimalMessage(n)
			}
			value, err := strconv.ParseFloat(n.text, 64)
			if err != nil || value < minValue || value > maxValue {
				return outOfRangeMessage(n)
			}
			// Adding zero turns -0 into 0, which is formatted without a sign.
			*pointer(target) = value + 0
			return ""
		},
		format: func(target *T) string {
			return formatFloat(*pointer(target))
		},
	}
}

func durationField[T any](key string, minValue, maxValue time.Duration, pointer func(*T) *time.Duration) field[T] {
	return field[T]{
		key:      key,
		accepted: fmt.Sprintf("duration from %v to %v, such as 250ms", minValue, maxValue),
		parse: func(target *T, n *yamlNode) string {
			if n.kind != kindString {
				return wrongTypeMessage(n)
			}
			value, err := time.ParseDuration(n.text)
			if err != nil {
				return "not a duration: " + strconv.Quote(n.text)
			}
			if value < minValue || value > maxValue {
				return outOfRangeMessage(n)
			}
			*pointer(target) = value
			return ""
		},
		format: func(target *T) string {
			return pointer(target).String()
		},
	}
}

func boolField[T any](key string, pointer func(*T) *bool) field[T] {
	return field[T]{
		key:      key,
		accepted: "true or false",
		parse: func(target *T, n *yamlNode) string {
			if n.kind != kindBool {
				return wrongTypeMessage(n)
			}
			*pointer(target) = strings.EqualFold(n.text, "true")
			return ""
		},
		format: func(target *T) string {
			return strconv.FormatBool(*pointer(target))
		},
	}
}

// enumField accepts the strings that the String methods of the values return.
func enumField[T any, V interface {
	comparable
	fmt.Stringer
}](key string, values []V, pointer func(*T) *V,
) field[T] {
	names := make([]string, 0, len(values))
	for _, v := range values {
		names = append(names, v.String())
	}
	return field[T]{
		key:      key,
		accepted: "one of " + strings.Join(names, ", "),
		parse: func(target *T, n *yamlNode) string {
			if n.kind != kindString {
				return wrongTypeMessage(n)
			}
			i := slices.Index(names, n.text)
			if i < 0 {
				return "unknown value " + strconv.Quote(n.text)
			}
			*pointer(target) = values[i]
			return ""
		},
		format: func(target *T) string {
			return (*pointer(target)).String()
		},
	}
}

func nameField[T any, N ~string](key string, pointer func(*T) *N) field[T] {
	return field[T]{
		key:      key,
		accepted: nameSyntax,
		parse: func(target *T, n *yamlNode) string {
			if n.kind != kindString {
				return wrongTypeMessage(n)
			}
			if !isValidName(n.text) {
				return invalidNameMessage(n.text)
			}
			*pointer(target) = N(n.text)
			return ""
		},
		format: func(target *T) string {
			return formatName(*pointer(target))
		},
	}
}

// nameListField accepts a list of distinct names and sorts it.
func nameListField[T any, N ~string](key string, pointer func(*T) *[]N) field[T] {
	return field[T]{
		key:      key,
		accepted: "list of one or more different names",
		parse: func(target *T, n *yamlNode) string {
			names, problem := parseNameList[N](n)
			if problem == "" {
				*pointer(target) = names
			}
			return problem
		},
		format: func(target *T) string {
			var formatted []string
			for _, name := range *pointer(target) {
				formatted = append(formatted, formatName(name))
			}
			return "[" + strings.Join(formatted, ", ") + "]"
		},
	}
}

func parseNameList[N ~string](n *yamlNode) (names []N, problem string) {
	if n.kind != kindSequence {
		return nil, wrongTypeMessage(n)
	}
	for _, item := range n.items {
		if item.kind != kindString {
			return nil, "list item: " + wrongTypeMessage(item)
		}
		if !isValidName(item.text) {
			return nil, invalidNameMessage(item.text)
		}
		if slices.Contains(names, N(item.text)) {
			return nil, "repeated name " + strconv.Quote(item.text)
		}
		names = append(names, N(item.text))
	}
	if len(names) == 0 {
		return nil, "the list is empty"
	}
	slices.Sort(names)
	return names, ""
}

func addressPortField[T any](key string, pointer func(*T) *netip.AddrPort) field[T] {
	return field[T]{
		key:      key,
		accepted: "unicast IP address and port, such as 10.1.0.7:7000 or \"[fd00::7]:7000\"",
		parse: func(target *T, n *yamlNode) string {
			if n.kind != kindString {
				return wrongTypeMessage(n)
			}
			value, err := netip.ParseAddrPort(n.text)
			if err != nil {
				return "not an address and port: " + strconv.Quote(n.text)
			}
			// Unmapping IPv4-mapped addresses makes duplicate addresses compare equal.
			value = netip.AddrPortFrom(value.Addr().Unmap(), value.Port())
			ip := value.Addr()
			if ip.Zone() != "" || ip.IsUnspecified() || ip.IsMulticast() || value.Port() == 0 {
				return outOfRangeMessage(n)
			}
			*pointer(target) = value
			return ""
		},
		format: func(target *T) string {
			value := *pointer(target)
			if value.Addr().Is6() {
				return strconv.Quote(value.String())
			}
			return value.String()
		},
	}
}

func wrongTypeMessage(n *yamlNode) string {
	if n.kind == kindMapping || n.kind == kindSequence || n.kind == kindNull {
		return "wrong type: " + n.kind.String()
	}
	return "wrong type: " + n.kind.String() + " " + strconv.Quote(n.text)
}

func notDecimalMessage(n *yamlNode) string {
	return "not in plain decimal form: " + strconv.Quote(n.text)
}

func outOfRangeMessage(n *yamlNode) string {
	return "value out of range: " + strconv.Quote(n.text)
}

func formatFloat(value float64) string {
	return strconv.FormatFloat(value, 'f', -1, 64)
}
