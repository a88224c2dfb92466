package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"github.com/oriolecroft/oriolecroft/standins/imitator"
)

func checkCommand() command {
	var services, engines, origins, results, drained string
	f := newCommand("check", "compares the callers' results with the stand-ins' counts")
	f.String(&services, "", "services", "service addresses, separated by commas")
	f.String(&engines, "", "engines", "engine addresses, separated by commas")
	f.String(&origins, "", "origins", "origin addresses, separated by commas")
	f.String(&results, "", "results", "result files of callers, separated by commas")
	f.String(&drained, "", "drained", `file with {"drained":[{"address","since"}]}`)
	return command{f, func(ctx context.Context) error {
		var c imitator.Checker
		if err := setStandins(&c, services, engines, origins); err != nil {
			return err
		}
		for _, f := range split(results) {
			var r imitator.Result
			if err := readFile(f, &r); err != nil {
				return err
			}
			c.Results = append(c.Results, r)
		}
		if drained != "" {
			if err := readFile(drained, &c.Drained); err != nil {
				return err
			}
		}
		totals, err := c.Run(ctx)
		if err != nil {
			return err
		}
		b, err := json.Marshal(totals)
		if err != nil {
			return err
		}
		fmt.Println(string(b))
		return nil
	}}
}

func setStandins(c *imitator.Checker, services, engines, origins string) (err error) {
	if c.Services, err = addresses(services); err != nil {
		return err
	}
	if c.Engines, err = addresses(engines); err != nil {
		return err
	}
	c.Origins, err = addresses(origins)
	return err
}

func readFile(file string, v any) error {
	b, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	return json.Unmarshal(b, v)
}
