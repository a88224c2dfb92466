package soaker

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// seedFields are the columns of a file of seeds; the last one tells the cause.
var seedFields = []string{"seed", "seconds", "entries", "engines", "services"}

// ReadRuns reads a file of seeds that failed.
func ReadRuns(path string) ([]Options, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var runs []Options
	lines := bufio.NewScanner(bytes.NewReader(text))
	for number := 1; lines.Scan(); number++ {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		o, err := parseRun(line)
		if err != nil {
			return nil, fmt.Errorf("%s, line %d: %w", path, number, err)
		}
		runs = append(runs, o)
	}
	return runs, lines.Err()
}

func parseRun(line string) (Options, error) {
	columns := strings.Split(line, "|")
	if len(columns) != len(seedFields)+1 || strings.TrimSpace(columns[len(seedFields)]) == "" {
		return Options{}, &OptionError{Option: "columns", Problem: "want " + strings.Join(seedFields, " | ") + " | cause"}
	}
	var values []uint64
	for i, name := range seedFields {
		n, err := strconv.ParseUint(strings.TrimSpace(columns[i]), 10, 32)
		if err != nil {
			return Options{}, &OptionError{Option: name, Problem: "no number"}
		}
		values = append(values, n)
	}
	o := Options{
		Seed: values[0], Length: time.Duration(values[1]) * time.Second, Entries: int(values[2]), Engines: int(values[3]), Services: int(values[4]),
	}
	return o, o.Check()
}
