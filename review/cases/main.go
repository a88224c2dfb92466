//go:build review

// Command cases plays a case of the review: cases NAME RECORD. It exits with 1 if the rule was broken, with 0
// if it held, and with 2 if the case couldn't run. With TROUBLE=0 it leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/oriolecroft/oriolecroft/review/bed"
)

// cases are the cases by name.
var cases = map[string]func(b *bed.Bed, trouble string) (code int, err error){
	"cut":   playCut,
	"cold":  playCold,
	"leave": playLeave,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME RECORD")
		return bed.CantRun
	}
	trouble, ok := os.LookupEnv("TROUBLE")
	if !ok {
		trouble = "1"
	}
	b, err := bed.New(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return bed.CantRun
	}
	defer b.Close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stop
		b.Close()
		os.Exit(bed.CantRun)
	}()
	code, err := cases[os.Args[1]](b, trouble)
	if err != nil {
		b.Say("the case couldn't run: %v", err)
		return bed.CantRun
	}
	return code
}
