package logline

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// Line is one line of a log.
type Line struct {
	// Time is the time of writing, by the router's clock.
	Time time.Time `json:"time"`

	// VM is the VM of the router that wrote the line, Event the log event.
	VM    string `json:"vm"`
	Event string `json:"event"`

	// Fields are the remaining fields by name.
	Fields map[string]any `json:"fields"`
}

// RequestTrace collects the log lines of one request.
type RequestTrace struct {
	// Request is the request ID.
	Request string `json:"request"`

	// Lines are the lines of the request in order of time.
	Lines []Line `json:"lines"`

	// Cause states how the request ended and why, as far as the logs show.
	Cause string `json:"cause"`

	// Skipped counts lines that could not be parsed.
	Skipped int `json:"skipped"`
}

// Trace reads logs and returns the trace of a request.
func Trace(request string, logs ...io.Reader) (RequestTrace, error) {
	t := RequestTrace{
		Request: request,
	}
	for _, log := range logs {
		if err := t.readLog(log); err != nil {
			return t, err
		}
	}
	slices.SortStableFunc(t.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	t.Cause = t.cause()
	return t, nil
}

// readLog adds the lines of one log.
func (t *RequestTrace) readLog(log io.Reader) error {
	r := bufio.NewReaderSize(log, maxLineBytes)
	for {
		text, err := r.ReadString('\n')
		if strings.TrimSpace(text) != "" {
			t.addLine(text)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// addLine adds a line if it belongs to the request.
func (t *RequestTrace) addLine(text string) {
	var fields map[string]any
	if err := json.Unmarshal([]byte(text), &fields); err != nil {
		t.Skipped++
		return
	}
	if fields["request"] != t.Request {
		return
	}
	line := Line{
		VM:     stringOf(fields["vm"]),
		Event:  stringOf(fields["msg"]),
		Fields: fields,
	}
	at, err := time.Parse(time.RFC3339Nano, stringOf(fields["time"]))
	if err != nil {
		t.Skipped++
		return
	}
	line.Time = at
	for _, name := range []string{"time", "vm", "msg", "level", "request"} {
		delete(fields, name)
	}
	t.Lines = append(t.Lines, line)
}

// stringOf returns v if it is a string, otherwise the empty string.
func stringOf(v any) string {
	s, _ := v.(string)
	return s
}

// cause states how the request ended.
func (t *RequestTrace) cause() string {
	if len(t.Lines) == 0 {
		return "no line names this request"
	}
	var last Line
	var attempt, budget *Line
	for i := range t.Lines {
		l := &t.Lines[i]
		switch l.Event {
		case "attempt_ended":
			attempt = l
		case "budget_short":
			budget = l
		case "refused", "cut", "served", "caller_left":
			last = *l
		}
	}
	switch last.Event {
	case "":
		return "it has no end in these logs"
	case "served":
		return "served"
	case "caller_left":
		return "its caller went away"
	}
	text := last.Event
	if code := stringOf(last.Fields["code"]); code != "" {
		text += " as " + code
	}
	switch {
	case budget != nil:
		return fmt.Sprintf("%s: budget %v, %v: worst case %v, free %v, pool %v (current: %v), store lost: %v",
			text, budget.Fields["budget"], budget.Fields["reason"], budget.Fields["worst"],
			budget.Fields["free"], budget.Fields["pool"], budget.Fields["pool_known"], budget.Fields["store_lost"])
	case attempt != nil:
		return fmt.Sprintf("%s: its attempt %v at %v ended as %v %v",
			text, attempt.Fields["attempt"], attempt.Fields["endpoint"], attempt.Fields["result"], attempt.Fields["cause"])
	}
	return text
}

// String returns the line in human-readable form, its fields sorted by name.
func (l Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s", l.Time.UTC().Format("15:04:05.000000"), l.VM, l.Event)
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		fmt.Fprintf(&b, " %s=%v", name, l.Fields[name])
	}
	return b.String()
}
