package main

import (
	"fmt"
	"io"
	"os"

	"waxwingwall/io/logline"
)

// traceCommand prints the path of a request through the logs of routers.
type traceCommand struct {
	Request string `long:"request" short:"r" required:"true" description:"the request's ID"`

	Files struct {
		Names []string `positional-arg-name:"FILE" required:"1" description:"logs of routers"`
	} `positional-args:"true"`

	app *app
}

// Execute implements flags.Commander.
func (c *traceCommand) Execute([]string) error {
	var logs []io.Reader
	for _, name := range c.Files.Names {
		f, err := os.Open(name)
		if err != nil {
			return &usageError{
				err: err,
			}
		}
		defer f.Close()
		logs = append(logs, f)
	}
	result, err := logline.Trace(c.Request, logs...)
	if err != nil {
		return err
	}
	if c.app.JSON {
		return c.app.printJSON(result)
	}
	for _, line := range result.Lines {
		if _, err := fmt.Fprintln(c.app.out, line); err != nil {
			return err
		}
	}
	if result.Skipped > 0 {
		if _, err := fmt.Fprintf(c.app.out, "%d lines could not be read\n", result.Skipped); err != nil {
			return err
		}
	}
	_, err = fmt.Fprintln(c.app.out, result.Cause)
	return err
}
