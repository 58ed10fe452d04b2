// Command platform plays the scripts of the review: it starts a store, servers and clients as
// stand-ins, and the project's routers as processes of their own.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"time"
)

// recordFile is written in the folder of the case.
const recordFile = "record.txt"

// record is the file of what was sent, answered and run.
var record *os.File

// running is the fleet whose processes fail has to end.
var running *fleet

// started is the time that the record counts from.
var started time.Time

// fail ends a case that could not run.
func fail(format string, a ...any) {
	fmt.Fprintf(os.Stderr, "could not run: "+format+"\n", a...)
	if running != nil {
		running.stop()
	}
	os.Exit(2)
}

// note writes a line to the record.
func note(format string, a ...any) {
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(started).Seconds(), fmt.Sprintf(format, a...))
	_, _ = record.WriteString(line)
}

// say writes a line to the record and to standard output.
func say(format string, a ...any) {
	note(format, a...)
	fmt.Printf(format+"\n", a...)
}

// rel returns a time as seconds in the record.
func rel(t time.Time) float64 {
	return t.Sub(started).Seconds()
}

func main() {
	cases := map[string]func(trouble bool) bool{
		"stale":   staleCase,
		"balance": balanceCase,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: platform CASE FOLDER")
		os.Exit(2)
	}
	var err error
	if record, err = os.Create(os.Args[2] + "/" + recordFile); err != nil {
		fail("%v", err)
	}
	started = time.Now()
	broken := cases[os.Args[1]](os.Getenv("TROUBLE") != "0")
	running.stop()
	if broken {
		say("the rule was broken")
		os.Exit(1)
	}
	say("the rule held")
}
