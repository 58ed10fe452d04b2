package ini

import (
	"fmt"
	"math"
	"net/netip"
	"net/url"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// MaxNameBytes is the maximum length of a name, in bytes.
const MaxNameBytes = 128

var (
	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]*$`)
	pathPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/-]*$`)
)

// Name parses a name: letters, digits and . _ : - starting with a letter or
// digit. Slashes are not allowed, so a name can be one segment of a row's key.
func Name[T ~string](s string) (T, error) {
	return parsePattern[T](namePattern, s)
}

// Path parses a name that may contain slashes.
func Path[T ~string](s string) (T, error) {
	return parsePattern[T](pathPattern, s)
}

func parsePattern[T ~string](pattern *regexp.Regexp, s string) (T, error) {
	if len(s) > MaxNameBytes {
		return "", fmt.Errorf("name of %d bytes, the maximum is %d", len(s), MaxNameBytes)
	}
	if !pattern.MatchString(s) {
		return "", fmt.Errorf("%q is not a name", s)
	}
	return T(s), nil
}

// Text parses a non-empty text.
func Text(s string) (string, error) {
	if s == "" {
		return "", errMissing
	}
	return s, nil
}

// OneOf returns a parser that accepts only the given values.
func OneOf[T ~string](values ...T) func(string) (T, error) {
	return func(s string) (T, error) {
		for _, v := range values {
			if string(v) == s {
				return v, nil
			}
		}
		return "", fmt.Errorf("%q is not one of %v", s, values)
	}
}

// List returns a parser for a comma-separated list. An empty text is an empty
// list.
func List[T any](parse func(string) (T, error)) func(string) ([]T, error) {
	return func(s string) ([]T, error) {
		if strings.TrimSpace(s) == "" {
			return nil, nil
		}
		var list []T
		for _, part := range strings.Split(s, ",") {
			v, err := parse(strings.TrimSpace(part))
			if err != nil {
				return nil, err
			}
			list = append(list, v)
		}
		return list, nil
	}
}

// Int returns a parser for an integer within the bounds, inclusive.
func Int[T ~int | ~int64](lowest, highest T) func(string) (T, error) {
	return func(s string) (T, error) {
		n, err := strconv.ParseInt(s, 10, 64)
		if err != nil {
			return 0, fmt.Errorf("%q is not a whole number", s)
		}
		if n < int64(lowest) || n > int64(highest) {
			return 0, fmt.Errorf("%d is not within %d to %d", n, lowest, highest)
		}
		return T(n), nil
	}
}

// Float returns a parser for a number within the bounds, inclusive.
func Float(lowest, highest float64) func(string) (float64, error) {
	return func(s string) (float64, error) {
		x, err := strconv.ParseFloat(s, 64)
		if err != nil || math.IsNaN(x) {
			return 0, fmt.Errorf("%q is not a number", s)
		}
		if x < lowest || x > highest {
			return 0, fmt.Errorf("%v is not within %v to %v", x, lowest, highest)
		}
		return x, nil
	}
}

// Bool parses true or false.
func Bool(s string) (bool, error) {
	switch s {
	case "true":
		return true, nil
	case "false":
		return false, nil
	}
	return false, fmt.Errorf("%q is neither true nor false", s)
}

// Duration returns a parser for a duration within the bounds, inclusive.
func Duration(shortest, longest time.Duration) func(string) (time.Duration, error) {
	return func(s string) (time.Duration, error) {
		d, err := time.ParseDuration(s)
		if err != nil {
			return 0, fmt.Errorf("%q is not a time such as 250ms", s)
		}
		if d < shortest || d > longest {
			return 0, fmt.Errorf("%v is not within %v to %v", d, shortest, longest)
		}
		return d, nil
	}
}

// AddrPort parses an IP address and a port other than 0. Zones are not allowed.
func AddrPort(s string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(s)
	if err != nil || a.Port() == 0 || a.Addr().Zone() != "" {
		return netip.AddrPort{}, fmt.Errorf("%q is not an IP number with a port", s)
	}
	return a, nil
}

// BaseURL parses an http or https URL that has only an IP address and a port.
func BaseURL(s string) (string, error) {
	u, err := url.Parse(s)
	if err != nil {
		return "", fmt.Errorf("%q is not a URL", s)
	}
	if u.Scheme != "http" && u.Scheme != "https" {
		return "", fmt.Errorf("%q doesn't begin with http:// or https://", s)
	}
	if _, err := AddrPort(u.Host); err != nil {
		return "", err
	}
	if strings.Trim(u.Path, "/") != "" || u.RawQuery != "" || u.Fragment != "" || u.User != nil {
		return "", fmt.Errorf("%q has more than scheme, IP number and port", s)
	}
	return u.Scheme + "://" + u.Host, nil
}
