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

// seedFields are the columns of a seed file before the cause, and the flags of a run.
var seedFields = [5]string{"seed", "seconds", "entries", "engines", "services"}

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
		return Options{}, &OptionError{Option: "columns", Problem: "want " + strings.Join(seedFields[:], " | ") + " | cause"}
	}
	return ParseOptions([5]string(columns[:len(seedFields)]))
}

// ParseOptions reads and checks options in the order of seedFields.
func ParseOptions(texts [5]string) (Options, error) {
	var values [5]uint64
	for i, name := range seedFields {
		n, err := strconv.ParseUint(strings.TrimSpace(texts[i]), 10, 32)
		if err != nil {
			return Options{}, &OptionError{Option: name, Problem: fmt.Sprintf("%q is no number", texts[i])}
		}
		values[i] = n
	}
	o := Options{
		Seed: values[0], Length: time.Duration(values[1]) * time.Second, Entries: int(values[2]), Engines: int(values[3]), Services: int(values[4]),
	}
	return o, o.Check()
}
