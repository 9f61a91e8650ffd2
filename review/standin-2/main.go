// Command standin-2 plays the cases of the second review that are scripts. It starts the router of the deploy file as separate processes
// and takes the place of the platform, the runners and the clients.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	didNotRun  = 2
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE RECORD")
		os.Exit(didNotRun)
	}
	cases := map[string]func(*recorder, string, bool) (broken bool, err error){"relayed-list": relayedList, "large-answer": largeAnswer}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown case")
		os.Exit(didNotRun)
	}
	os.Exit(run(play, os.Args[2]))
}

func run(play func(*recorder, string, bool) (bool, error), path string) int {
	out, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return didNotRun
	}
	defer func() { _ = out.Close() }()
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return didNotRun
	}
	defer func() { _ = os.RemoveAll(folder) }()
	record := &recorder{began: time.Now(), out: out}
	broken, err := play(record, folder, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		record.note("the case could not run: %v", err)
		return didNotRun
	case broken:
		record.note("result: the rule was broken")
		return ruleBroken
	}
	record.note("result: the rule held")
	return ruleHeld
}
