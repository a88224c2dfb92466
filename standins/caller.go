package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/oriolecroft/oriolecroft/standins/imitator"
)

func callerCommand() command {
	var entries, out string
	c := &imitator.Caller{
		Workspace:   "spawnrun",
		Model:       "rota",
		Service:     "booking",
		Concurrency: 4,
		Seed:        1,
		Timeout:     time.Minute,
	}
	f := newCommand("caller", "calls the system and checks its answers")
	f.String(&entries, "", "entries", "entry addresses to ask first, separated by commas")
	f.Int(&c.Requests, "", "requests", "model requests to make")
	f.Int(&c.Bookings, "", "bookings", "bookings to make")
	f.String(&c.Workspace, "", "workspace", "workspace to call for")
	f.String(&c.Model, "", "model", "model to ask")
	f.String(&c.Service, "", "service", "service to book with")
	f.Int(&c.Concurrency, "", "concurrency", "calls at once")
	f.Duration(&c.Duration, "", "duration", "time to go on calling, in place of the numbers")
	f.UInt64(&c.Seed, "", "seed", "fixes prompts and names; part of each booking's name")
	f.Duration(&c.Timeout, "", "timeout", "time after which a call is given up")
	f.String(&out, "", "out", "file for the result")
	return command{f, func(ctx context.Context) error {
		var err error
		if c.Entries, err = parseAddresses(entries); err != nil {
			return err
		}
		started := time.Now()
		result := c.Run(ctx)
		fmt.Printf("%s in %s\n", result.Summary(), time.Since(started).Round(time.Millisecond))
		return writeResult(out, result)
	}}
}

func writeResult(file string, v any) error {
	if file == "" {
		return nil
	}
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(b, '\n'), 0o644)
}
