package main

import (
	"context"
	"fmt"
	"os"

	"github.com/oriolecroft/oriolecroft/internal/explainer"
)

const helpPlatformExplain = `
  Tells what became of one request from log lines on standard input: its own lines
  in order of time, those on its upstreams around it (marked by a dash), and how it
  ended. Text before a line's first brace, such as a VM's name, is kept.

  Example:
    cat logs/*.jsonl | oriolecroft platform explain --request 9c41d07be2a35f68`

func platformExplainCommand() command {
	flags := newCommand("explain", "tell what became of a request, from logs on standard input", helpPlatformExplain)
	request := ""
	flags.String(&request, "r", "request", "id of the request")
	return command{flags: flags, run: func(context.Context) error { return runExplain(request) }}
}

func runExplain(request string) error {
	if request == "" {
		return &UsageError{Problem: "--request is missing"}
	}
	lines, skipped, err := explainer.Read(os.Stdin)
	if err != nil {
		return err
	}
	if skipped > 0 {
		fmt.Fprintf(os.Stderr, "%d lines passed over: no JSON log lines\n", skipped)
	}
	return explainer.Explain(os.Stdout, lines, request)
}
