// Command reviewstandin plays the cases of the review that are scripts: it starts the project's
// programs as the deploy file does, with stand-ins of clients, endpoints and the platform.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// cases are the cases by name. Each returns how often the rule was broken; trouble is false when the
// disruption is to be left out.
var cases = map[string]func(rec *record, trouble bool) (broken int){
	"stop":        stopCase,
	"late-beat":   lateBeatCase,
	"memory":      memoryCase,
	"path":        pathCase,
	"storm":       stormCase,
	"first-start": firstStartCase,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: reviewstandin CASE RECORD, in the root of the repository")
		os.Exit(2)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		killAll()
		os.Exit(2)
	}()
	rec := newRecord(os.Args[2])
	broken := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	rec.line("broken: %d", broken)
	fmt.Println("broken:", broken)
	if broken > 0 {
		os.Exit(1)
	}
}
