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

// field is one value of the format: how it is read into T and written back.
type field[T any] struct {
	key string
	// accepted says which values are accepted.
	accepted string
	// required fields have no default.
	required bool
	// shared fields have one value for the whole deployment.
	shared bool
	// set stores the node's value, or says what is wrong with it.
	set func(*T, *yamlNode) (problem string)
	// get returns the value as YAML, always in the same form.
	get func(*T) string
}

// asRequired makes the field a required one.
func (f field[T]) asRequired() field[T] {
	f.required = true
	return f
}

// asShared gives the field one value for the whole deployment.
func (f field[T]) asShared() field[T] {
	f.shared = true
	return f
}

var (
	integerPattern = regexp.MustCompile(`^-?(0|[1-9][0-9]*)$`)
	decimalPattern = regexp.MustCompile(`^-?(0|[1-9][0-9]*)?(\.[0-9]+)?$`)
)

func integerField[T any](key string, low, high int, at func(*T) *int) field[T] {
	return field[T]{
		key:      key,
		accepted: fmt.Sprintf("integer from %d to %d", low, high),
		set: func(target *T, n *yamlNode) string {
			if n.kind != kindInteger {
				return wrongTypeMessage(n)
			}
			if !integerPattern.MatchString(n.text) {
				return notDecimalMessage(n)
			}
			value, err := strconv.Atoi(n.text)
			if err != nil || value < low || value > high {
				return outOfRangeMessage(n)
			}
			*at(target) = value
			return ""
		},
		get: func(target *T) string {
			return strconv.Itoa(*at(target))
		},
	}
}

func numberField[T any](key string, low, high float64, at func(*T) *float64) field[T] {
	return field[T]{
		key:      key,
		accepted: "number from " + formatFloat(low) + " to " + formatFloat(high),
		set: func(target *T, n *yamlNode) string {
			if n.kind != kindInteger && n.kind != kindFloat {
				return wrongTypeMessage(n)
			}
			if !decimalPattern.MatchString(n.text) {
				return notDecimalMessage(n)
			}
			value, err := strconv.ParseFloat(n.text, 64)
			if err != nil || value < low || value > high {
				return outOfRangeMessage(n)
			}
			// Adding zero turns -0 into 0, which is written without a sign.
			*at(target) = value + 0
			return ""
		},
		get: func(target *T) string {
			return formatFloat(*at(target))
		},
	}
}

func durationField[T any](key string, low, high time.Duration, at func(*T) *time.Duration) field[T] {
	return field[T]{
		key:      key,
		accepted: fmt.Sprintf("duration from %v to %v, such as 250ms", low, high),
		set: func(target *T, n *yamlNode) string {
			if n.kind != kindString {
				return wrongTypeMessage(n)
			}
			value, err := time.ParseDuration(n.text)
			if err != nil {
				return "not a duration: " + strconv.Quote(n.text)
			}
			if value < low || value > high {
				return outOfRangeMessage(n)
			}
			*at(target) = value
			return ""
		},
		get: func(target *T) string {
			return at(target).String()
		},
	}
}

func boolField[T any](key string, at func(*T) *bool) field[T] {
	return field[T]{
		key:      key,
		accepted: "true or false",
		set: func(target *T, n *yamlNode) string {
			if n.kind != kindBool {
				return wrongTypeMessage(n)
			}
			*at(target) = strings.EqualFold(n.text, "true")
			return ""
		},
		get: func(target *T) string {
			return strconv.FormatBool(*at(target))
		},
	}
}

// enumField accepts the names that the values have for themselves.
func enumField[T any, V interface {
	comparable
	fmt.Stringer
}](key string, values []V, at func(*T) *V,
) field[T] {
	names := make([]string, 0, len(values))
	for _, v := range values {
		names = append(names, v.String())
	}
	return field[T]{
		key:      key,
		accepted: "one of " + strings.Join(names, ", "),
		set: func(target *T, n *yamlNode) string {
			if n.kind != kindString {
				return wrongTypeMessage(n)
			}
			i := slices.Index(names, n.text)
			if i < 0 {
				return "unknown value " + strconv.Quote(n.text)
			}
			*at(target) = values[i]
			return ""
		},
		get: func(target *T) string {
			return (*at(target)).String()
		},
	}
}

func nameField[T any, N ~string](key string, at func(*T) *N) field[T] {
	return field[T]{
		key:      key,
		accepted: nameSyntax,
		set: func(target *T, n *yamlNode) string {
			if n.kind != kindString {
				return wrongTypeMessage(n)
			}
			if !isValidName(n.text) {
				return invalidNameMessage(n.text)
			}
			*at(target) = N(n.text)
			return ""
		},
		get: func(target *T) string {
			return formatName(*at(target))
		},
	}
}

// nameListField reads a list of different nameListField, which it sorts.
func nameListField[T any, N ~string](key string, at func(*T) *[]N) field[T] {
	return field[T]{
		key:      key,
		accepted: "list of one or more different names",
		set: func(target *T, n *yamlNode) string {
			list, problem := parseNameList[N](n)
			if problem == "" {
				*at(target) = list
			}
			return problem
		},
		get: func(target *T) string {
			var texts []string
			for _, n := range *at(target) {
				texts = append(texts, formatName(n))
			}
			return "[" + strings.Join(texts, ", ") + "]"
		},
	}
}

func parseNameList[N ~string](n *yamlNode) (list []N, problem string) {
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
		if slices.Contains(list, N(item.text)) {
			return nil, "repeated name " + strconv.Quote(item.text)
		}
		list = append(list, N(item.text))
	}
	if len(list) == 0 {
		return nil, "the list is empty"
	}
	slices.Sort(list)
	return list, ""
}

func addressPortField[T any](key string, at func(*T) *netip.AddrPort) field[T] {
	return field[T]{
		key:      key,
		accepted: "unicast IP address and port, such as 10.1.0.7:7000 or \"[fd00::7]:7000\"",
		set: func(target *T, n *yamlNode) string {
			if n.kind != kindString {
				return wrongTypeMessage(n)
			}
			value, err := netip.ParseAddrPort(n.text)
			if err != nil {
				return "not an address and port: " + strconv.Quote(n.text)
			}
			// One form for each address, so that duplicates are equal.
			value = netip.AddrPortFrom(value.Addr().Unmap(), value.Port())
			a := value.Addr()
			if a.Zone() != "" || a.IsUnspecified() || a.IsMulticast() || value.Port() == 0 {
				return outOfRangeMessage(n)
			}
			*at(target) = value
			return ""
		},
		get: func(target *T) string {
			value := *at(target)
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
