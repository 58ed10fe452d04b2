// Command stage plays the cases of the review that can't be put as a day of the bench. It starts router
// processes with the command of the deploy file, on loopback addresses, beside stand-ins for the
// platform's store, replicas and clients, and checks one rule by what clients and replicas have seen.
//
//	stage CASE DIR
//
// DIR is the folder of the case; record.txt is written there. With TROUBLE=0 the case runs without its
// disruption. The exit status is 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2

	// timeLimit is the longest time of a case.
	timeLimit = 118 * time.Second
)

// cases are the cases by name.
var cases = map[string]func(s *stage) (broken bool, err error){
	"tokens":   playTokens,
	"charge":   playCharge,
	"poison":   playPoison,
	"restarts": playRestarts,
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stage CASE DIR")
		return exitFailed
	}
	s, err := newStage(args[1], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer s.close()
	go s.limit()
	broken, err := cases[args[0]](s)
	switch {
	case err != nil:
		s.record("the case couldn't run: %v", err)
		return exitFailed
	case broken:
		s.record("result: the rule was broken")
		return exitBroken
	}
	s.record("result: the rule held")
	return exitHeld
}

// limit ends the stage if it is told to or takes too long.
func (s *stage) limit() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	select {
	case <-signals:
	case <-time.After(timeLimit):
	}
	s.record("the case couldn't run: it was ended")
	s.close()
	os.Exit(exitFailed)
}
