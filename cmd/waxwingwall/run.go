package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingwall/daemon"
	"waxwingwall/settings"
)

type configOption struct {
	Config string `long:"config" required:"true" description:"file with the settings of this process"`
}

func (o configOption) load() (settings.Settings, error) {
	s, err := settings.Load(o.Config)
	if err != nil {
		return s, usageError{err: err}
	}
	return s, nil
}

type checkCommand struct {
	configOption
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	if _, err := c.load(); err != nil {
		return err
	}
	fmt.Println(c.Config, "is sound")
	return nil
}

type runCommand struct {
	configOption
}

// Execute implements flags.Commander. The first signal starts a graceful
// stop, the second stops the process immediately.
func (c *runCommand) Execute([]string) error {
	s, err := c.load()
	if err != nil {
		return err
	}
	log, err := newLog(s.Log)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	runner, closeRunner := daemon.NewRunner()
	defer closeRunner()
	d, stop, err := daemon.Start(s, runner, log)
	if err != nil {
		return err
	}
	defer stop()
	log.WithField("callers", s.Listen.Callers).Info("serving")
	select {
	case sig := <-signals:
		log.WithField("signal", sig.String()).Info("graceful stop")
	case <-d.Router.Drained():
	}
	return drain(d, s, signals)
}

func drain(d *daemon.Daemon, s settings.Settings, signals <-chan os.Signal) error {
	ctx, cancel := context.WithTimeout(context.Background(), s.Timing.DrainTimeout)
	defer cancel()
	go func() {
		select {
		case <-signals:
			cancel()
		case <-ctx.Done():
		}
	}()
	return d.Drain(ctx)
}

func newLog(l settings.Log) (*logrus.Entry, error) {
	log := logrus.New()
	level, err := logrus.ParseLevel(l.Level)
	if err != nil {
		return nil, usageError{err: err}
	}
	log.SetLevel(level)
	if l.Format == settings.JSONFormat {
		log.SetFormatter(&logrus.JSONFormatter{
			TimestampFormat: time.RFC3339Nano,
		})
	}
	return logrus.NewEntry(log), nil
}
