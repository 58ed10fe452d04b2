// Command waxwingwall is the router daemon. A router runs on the hosting platform
// (run, packages daemon and io/platform) or, as an edge router, on the users'
// platform (edge, packages relay and platform).
//
//	waxwingwall run --config FILE     run a router
//	waxwingwall edge                  run a router on the users' platform
//	waxwingwall check --config FILE   check its settings
//	waxwingwall demo                  run a small fleet in one process
//	waxwingwall version
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

// Exit statuses.
const (
	exitFailed = 1
	exitUsage  = 2
)

// usageError is an error that ends the process with exitUsage.
type usageError struct {
	err error
}

func (e usageError) Error() string {
	return e.err.Error()
}

func main() {
	p := flags.NewNamedParser("waxwingwall", flags.Default)
	for _, c := range commands() {
		if _, err := p.AddCommand(c.name, c.short, c.short, c.run); err != nil {
			panic(err)
		}
	}
	_, err := p.Parse()
	os.Exit(status(err))
}

type command struct {
	name, short string
	run         flags.Commander
}

func commands() []command {
	return []command{
		{
			name:  "edge",
			short: "Run a router that passes requests through, until it is told to stop",
			run:   &edgeCommand{},
		},
		{
			name:  "run",
			short: "Run a router until it is told to stop",
			run:   &runCommand{},
		},
		{
			name:  "check",
			short: "Check a router's settings",
			run:   &checkCommand{},
		},
		{
			name:  "demo",
			short: "Run a small fleet in one process and serve a few requests",
			run:   &demoCommand{},
		},
		{
			name:  "version",
			short: "Print the version",
			run:   &versionCommand{},
		},
	}
}

// status returns the exit status for an error.
func status(err error) int {
	var flagErr *flags.Error
	var usageErr usageError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &flagErr):
		if flagErr.Type == flags.ErrHelp {
			return 0
		}
		return exitUsage
	case errors.As(err, &usageErr):
		return exitUsage
	}
	return exitFailed
}

type versionCommand struct{}

// Version is set at build time.
var Version = "development"

// Execute implements flags.Commander.
func (*versionCommand) Execute([]string) error {
	fmt.Println("waxwingwall", Version)
	return nil
}
