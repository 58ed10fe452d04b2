// Command waxwingctl administers a fleet of routers.
//
// Commands for configuration, budgets and the member list access the hosting
// platform's table. Commands for drains and state dumps call the operator API of
// one router.
//
//	waxwingctl config check|diff|try|promote|show|history|prune
//	waxwingctl account list
//	waxwingctl budget show|top-up
//	waxwingctl vm list|drain
//	waxwingctl endpoint list|drain
//	waxwingctl dump
//	waxwingctl trace --request ID FILE...
//	waxwingctl key new
//
// The exit status is 0 on success, 1 if the command was refused or conflicted
// with another change, 2 for an error in the usage or in a file, and 3 if the
// hosting platform or the router did not respond.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/gravitational/trace"
	"github.com/jessevdk/go-flags"

	"waxwingwall"
	"waxwingwall/core/config"
	"waxwingwall/core/config/ini"
	"waxwingwall/io/platform"
	"waxwingwall/io/table"
)

// Exit statuses.
const (
	exitDone        = 0
	exitRefused     = 1
	exitUsage       = 2
	exitUnavailable = 3
)

// errUnavailable means that a router did not respond.
var errUnavailable = errors.New("router unavailable")

// usageError is an error in the usage of the command or in a file.
type usageError struct {
	err error
}

func (e *usageError) Error() string { return e.err.Error() }

func (e *usageError) Unwrap() error { return e.err }

// app holds the global options and the state shared by all commands.
type app struct {
	Platform    string        `long:"platform" env:"WAXWING_PLATFORM" value-name:"URL" description:"the platform, as http://IP:PORT"`
	Router      string        `long:"router" env:"WAXWING_ROUTER" value-name:"URL" description:"a router's operator port, as http://IP:PORT or https://IP:PORT"`
	KeyFile     string        `long:"key-file" env:"WAXWING_KEY_FILE" value-name:"FILE" description:"file with the operator's key"`
	Authority   string        `long:"authority" env:"WAXWING_AUTHORITY" value-name:"FILE" description:"PEM file with the authorities of the router's certificate"`
	Certificate string        `long:"certificate" env:"WAXWING_CERTIFICATE" value-name:"FILE" description:"PEM file with the operator's certificate"`
	Key         string        `long:"key" env:"WAXWING_KEY" value-name:"FILE" description:"PEM file with the certificate's private key"`
	Environment string        `long:"environment" short:"e" env:"WAXWING_ENVIRONMENT" default:"production" description:"environment to show"`
	Author      string        `long:"author" env:"WAXWING_AUTHOR" description:"who makes a change; the user's name otherwise"`
	Timeout     time.Duration `long:"timeout" default:"15s" description:"longest time for a command"`
	JSON        bool          `long:"json" description:"print JSON"`

	out io.Writer
	now func() time.Time
}

func main() {
	a := &app{
		out: os.Stdout,
		now: time.Now,
	}
	err := a.run(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, message(err))
	}
	os.Exit(status(err))
}

// run executes a command line.
func (a *app) run(args []string) error {
	parser := flags.NewNamedParser("waxwingctl", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Options", "", a); err != nil {
		return err
	}
	for _, cmd := range a.commands() {
		if err := cmd.addTo(parser); err != nil {
			return err
		}
	}
	_, err := parser.ParseArgs(args)
	var flagErr *flags.Error
	if errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp {
		_, err = fmt.Fprintln(a.out, flagErr.Message)
	}
	return err
}

// command is a command, possibly with subcommands.
type command struct {
	name, short string
	run         flags.Commander
	subcommands []command
}

func (cmd command) addTo(p *flags.Parser) error {
	var data any = &struct{}{}
	if cmd.run != nil {
		data = cmd.run
	}
	c, err := p.AddCommand(cmd.name, cmd.short, cmd.short, data)
	if err != nil {
		return err
	}
	for _, sub := range cmd.subcommands {
		if _, err := c.AddCommand(sub.name, sub.short, sub.short, sub.run); err != nil {
			return err
		}
	}
	return nil
}

// status returns the exit status for an error.
func status(err error) int {
	var usageErr *usageError
	var flagErr *flags.Error
	var iniErrs ini.Errors
	switch {
	case err == nil:
		return exitDone
	case errors.As(err, &usageErr), errors.As(err, &flagErr), errors.As(err, &iniErrs):
		return exitUsage
	case errors.Is(err, waxwingwall.ErrUnavailable), errors.Is(err, config.ErrUnresolved),
		errors.Is(err, errUnavailable), errors.Is(err, context.DeadlineExceeded):
		return exitUnavailable
	}
	return exitRefused
}

// message returns the text of an error for users, without stack traces.
func message(err error) string {
	return trace.UserMessage(err)
}

// withTable calls do with a client of the hosting platform.
func (a *app) withTable(do func(context.Context, *platform.Client) error) error {
	if a.Platform == "" {
		return usagef("no --platform given")
	}
	if _, err := ini.BaseURL(a.Platform); err != nil {
		return usagef("--platform: %v", err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), a.Timeout)
	defer cancel()
	c, closeClient, err := platform.New(a.Platform)
	if err != nil {
		return err
	}
	defer closeClient()
	return do(ctx, c)
}

// runPlan runs a plan on the table. It stops at the deadline of the command.
func runPlan(ctx context.Context, t waxwingwall.Table, p table.Plan) error {
	if err := table.Run(ctx, t, p); err != nil {
		return trace.Wrap(waxwingwall.ErrUnavailable, "%v; the change may have been made", err)
	}
	return nil
}

func usagef(format string, args ...any) error {
	return &usageError{
		err: fmt.Errorf(format, args...),
	}
}
