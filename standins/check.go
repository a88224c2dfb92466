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
		if err := setAddresses(&c, services, engines, origins); err != nil {
			return err
		}
		for _, f := range splitList(results) {
			var r imitator.Result
			if err := readJSONFile(f, &r); err != nil {
				return err
			}
			c.Results = append(c.Results, r)
		}
		if drained != "" {
			if err := readJSONFile(drained, &c.Drained); err != nil {
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

func setAddresses(c *imitator.Checker, services, engines, origins string) (err error) {
	if c.Services, err = parseAddresses(services); err != nil {
		return err
	}
	if c.Engines, err = parseAddresses(engines); err != nil {
		return err
	}
	c.Origins, err = parseAddresses(origins)
	return err
}

func readJSONFile(file string, v any) error {
	b, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	return json.Unmarshal(b, v)
}
