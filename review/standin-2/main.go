//go:build review

// Command standin-2 plays the review's cases 6 to 10: it starts the programs of the deploy file as separate processes on
// loopback addresses, and stands in for executors, the machine interface, the operator and the clients.
//
// It exits with 1 if the rule of the case was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit statuses.
const (
	held   = 0
	broken = 1
	unable = 2
)

// caseLimit ends a case that does not come to an end by itself.
const caseLimit = 115 * time.Second

// cases are the functions that play a case, by its number. They return an exit status.
var cases = map[int]func(w *world, trouble bool) int{}

func main() {
	number := flag.Int("case", 0, "number of the case")
	program := flag.String("program", "target/cowslipstream", "program of the deploy file")
	record := flag.String("record", "record.txt", "file that tells what was sent, answered and run")
	flag.Parse()
	play := cases[*number]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown case")
		os.Exit(unable)
	}
	os.Exit(run(play, *program, *record, os.Getenv("TROUBLE") != "0"))
}

func run(play func(*world, bool) int, program, record string, trouble bool) (status int) {
	file, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unable
	}
	defer file.Close()
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unable
	}
	keep := os.Getenv("KEEP") != ""
	if !keep {
		defer os.RemoveAll(folder)
	}
	absolute, err := filepath.Abs(program)
	if err != nil {
		return unable
	}
	w, err := newWorld(absolute, folder, file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unable
	}
	defer w.close()
	if keep {
		fmt.Println("logs in", folder)
	}
	w.notef("trouble: %v", trouble)
	done := make(chan int, 1)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	go func() { done <- play(w, trouble) }()
	select {
	case status = <-done:
	case <-stop:
		w.notef("interrupted")
		status = unable
	case <-time.After(caseLimit):
		w.notef("the case did not end within %s", caseLimit)
		status = unable
	}
	w.notef("exit status %d", status)
	return status
}
