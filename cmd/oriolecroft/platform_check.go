package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/oriolecroft/oriolecroft/platform"
)

const helpPlatformCheck = `
  Names every fault of a settings file at once, each by its field: what can't be
  read, what its role needs and lacks, and what does not fit together. A file with
  listen.front is an entry's, one with app an agent's. Nothing is started.

  Exit status: 0 sound, 2 faults, 1 the file can't be read.

  Example:
    oriolecroft platform check /etc/oriolecroft/local.toml`

// SettingsFaultsError reports the faults of a settings file.
type SettingsFaultsError struct {
	File   string
	Faults []string
}

func (e *SettingsFaultsError) Error() string {
	return fmt.Sprintf("%s has %d faults:\n  %s", e.File, len(e.Faults), strings.Join(e.Faults, "\n  "))
}

func platformCheckCommand() command {
	file := ""
	flags := newCommand("check", "name every fault of a settings file", helpPlatformCheck)
	flags.AddPositionalValue(&file, "FILE", 1, true, "settings file to check")
	return command{flags: flags, run: func(context.Context) error { return checkSettings(file) }}
}

func checkSettings(file string) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	s, err := platform.ParseSettings(string(text))
	if s != nil {
		err = errors.Join(err, s.Check())
	}
	if err != nil {
		return &SettingsFaultsError{File: file, Faults: faultLines(err)}
	}
	fmt.Printf("%s is sound: %s %s in %s, store at %v\n", file, s.Role(), s.Name, s.FailureDomain, s.Store.Address)
	return nil
}

// faultLines sorts the faults that an error joins, one for each field: a field that can't be
// parsed is also reported as missing.
func faultLines(err error) []string {
	var lines []string
	seen := map[string]bool{}
	for line := range strings.Lines(err.Error()) {
		line = strings.TrimSpace(line)
		if field, _, _ := strings.Cut(line, ":"); !seen[field] {
			seen[field] = true
			lines = append(lines, line)
		}
	}
	slices.Sort(lines)
	return lines
}
