package main

import (
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"waxwingwall/io/logline"
	"waxwingwall/relay"
	"waxwingwall/settings"
)

// memoryLimitPercent is the soft memory limit of the Go runtime, as a
// percentage of the configured memory.
const memoryLimitPercent = 60

// edgeCommand runs an edge router on the users' platform, which passes the path
// of the settings in an environment variable.
type edgeCommand struct {
	Config string `long:"config" env:"WAXWINGWALL_CONFIG" required:"true" description:"file with the settings of this process"`
}

// Execute implements flags.Commander. SIGHUP reloads the settings; the first
// SIGINT or SIGTERM starts a graceful stop, the second stops the process
// immediately.
func (c *edgeCommand) Execute([]string) error {
	s, err := settings.LoadEdge(c.Config)
	if err != nil {
		return usageError{
			err: err,
		}
	}
	log, err := newLog(s.Log)
	if err != nil {
		return err
	}
	logWriter, closeLog := logline.NewWriter(os.Stdout)
	defer closeLog()
	log.Logger.SetOutput(logWriter)
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(s.MemoryBytes / 100 * memoryLimitPercent)
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	log = log.WithField("vm", s.VM)
	r, stop, err := relay.New(s, relay.WithLog(log))
	if err != nil {
		return err
	}
	defer stop()
	log.WithField("callers", s.Callers.String()).Info("started")
	draining := false
	for {
		select {
		case sig := <-signals:
			switch {
			case sig == syscall.SIGHUP:
				c.reload(r)
			case draining:
				return nil
			default:
				draining = true
				log.WithField("signal", sig.String()).Info("stopping")
				r.Drain()
			}
		case <-r.Drained():
			log.Info("stopped")
			return nil
		}
	}
}

// reload reads the settings again; if they are invalid, the old ones stay in
// effect.
func (c *edgeCommand) reload(r *relay.Relay) {
	s, err := settings.LoadEdge(c.Config)
	if err != nil {
		r.Log().WithError(err).Error("settings_refused")
		return
	}
	r.Reload(s)
}
