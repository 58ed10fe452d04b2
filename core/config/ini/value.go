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

// MaxNameBytes is the longest name, in bytes.
const MaxNameBytes = 128

var (
	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]*$`)
	pathPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/-]*$`)
)

// Name parses a name: letters, digits and . _ : - with a letter or digit
// first. It holds no slash, so that it can be a part of a row's key.
func Name[T ~string](s string) (T, error) {
	return parsePattern[T](namePattern, s)
}

// Path parses a name that may hold slashes.
func Path[T ~string](s string) (T, error) {
	return parsePattern[T](pathPattern, s)
}

func parsePattern[T ~string](form *regexp.Regexp, s string) (T, error) {
	if len(s) > MaxNameBytes {
		return "", fmt.Errorf("name of %d bytes, the most is %d", len(s), MaxNameBytes)
	}
	if !form.MatchString(s) {
		return "", fmt.Errorf("%q is not a name", s)
	}
	return T(s), nil
}

// Text parses any text that isn't empty.
func Text(s string) (string, error) {
	if s == "" {
		return "", errMissing
	}
	return s, nil
}

// OneOf returns a parser for one of the given words.
func OneOf[T ~string](words ...T) func(string) (T, error) {
	return func(s string) (T, error) {
		for _, w := range words {
			if string(w) == s {
				return w, nil
			}
		}
		return "", fmt.Errorf("%q is not one of %v", s, words)
	}
}

// List returns a parser for values with commas between. An empty text is an
// empty list.
func List[T any](one func(string) (T, error)) func(string) ([]T, error) {
	return func(s string) ([]T, error) {
		if strings.TrimSpace(s) == "" {
			return nil, nil
		}
		var list []T
		for _, part := range strings.Split(s, ",") {
			v, err := one(strings.TrimSpace(part))
			if err != nil {
				return nil, err
			}
			list = append(list, v)
		}
		return list, nil
	}
}

// Int returns a parser for a whole number within the limits.
func Int[T ~int | ~int64](least, most T) func(string) (T, error) {
	return func(s string) (T, error) {
		n, err := strconv.ParseInt(s, 10, 64)
		if err != nil {
			return 0, fmt.Errorf("%q is not a whole number", s)
		}
		if n < int64(least) || n > int64(most) {
			return 0, fmt.Errorf("%d is not within %d to %d", n, least, most)
		}
		return T(n), nil
	}
}

// Float returns a parser for a number within the limits.
func Float(least, most float64) func(string) (float64, error) {
	return func(s string) (float64, error) {
		x, err := strconv.ParseFloat(s, 64)
		if err != nil || math.IsNaN(x) {
			return 0, fmt.Errorf("%q is not a number", s)
		}
		if x < least || x > most {
			return 0, fmt.Errorf("%v is not within %v to %v", x, least, most)
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

// Duration returns a parser for a time with its unit, within the limits.
func Duration(least, most time.Duration) func(string) (time.Duration, error) {
	return func(s string) (time.Duration, error) {
		d, err := time.ParseDuration(s)
		if err != nil {
			return 0, fmt.Errorf("%q is not a time such as 250ms", s)
		}
		if d < least || d > most {
			return 0, fmt.Errorf("%v is not within %v to %v", d, least, most)
		}
		return d, nil
	}
}

// AddrPort parses an IP number and a port other than 0.
func AddrPort(s string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(s)
	if err != nil || a.Port() == 0 || a.Addr().Zone() != "" {
		return netip.AddrPort{}, fmt.Errorf("%q is not an IP number with a port", s)
	}
	return a, nil
}

// BaseURL parses http:// or https:// with an IP number and a port.
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
