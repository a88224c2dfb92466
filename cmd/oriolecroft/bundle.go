package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/samber/oops"

	"github.com/oriolecroft/oriolecroft/pkg/bundler"
)

const helpBundle = `
  A bundle says which models, adapters and versions serve which workspaces, in
  which failure domains and within what limits. It is a JSON file that goes
  through new, check, sign and roll; once rolled it never changes.`

const helpKeygen = `
  Makes an operator's key pair: the private half in the file (readable by its
  owner only), the public half beside it with ".pub" at the end.

  Example:
    oriolecroft bundle keygen --out operator.key`

const helpNew = `
  Writes the next bundle to edit: the one in force with the next revision, or an
  example when there is none or no --store is given.

  Examples:
    oriolecroft bundle new --out bundle.json
    oriolecroft bundle new --store 127.0.0.1:7000 --keys "$(cat operator.key.pub)" --out bundle.json`

const helpCheck = `
  Reads a bundle and names every fault at once. Exit status 3 when there is any.

  Example:
    oriolecroft bundle check bundle.json`

const helpSign = `
  Adds one operator's sign-off. FILE is a bundle, or a signed one that a second
  operator signs too.

  Examples:
    oriolecroft bundle sign bundle.json --key anna.key --out signed.json
    oriolecroft bundle sign signed.json --key ben.key --out signed.json`

const helpShow = `
  Shows the bundle in force, or one from the history.

  Examples:
    oriolecroft bundle show --store 127.0.0.1:7000 --keys "$(cat operator.key.pub)"
    oriolecroft bundle show --revision 12 --json --store 127.0.0.1:7000 --keys "..."`

const helpDiff = `
  Compares a bundle file with a second file, or with the bundle in force.

  Examples:
    oriolecroft bundle diff bundle.json other.json
    oriolecroft bundle diff bundle.json --store 127.0.0.1:7000 --keys "..."`

var bundleCommandNames = []string{"keygen", "new", "check", "sign", "roll", "show", "diff"}

func isBundleCommand(name string) bool { return slices.Contains(bundleCommandNames, name) }

func bundleCommands() []command {
	return []command{
		keygenCommand(), newBundleCommand(), checkCommand(), signCommand(),
		rollCommand(), showCommand(), diffCommand(),
	}
}

func keygenCommand() command {
	out := "operator.key"
	flags := newCommand("keygen", "make an operator's key pair", helpKeygen)
	flags.String(&out, "", "out", "file for the private key")
	return command{flags: flags, run: func(context.Context) error { return keygen(out) }}
}

// Modes of the files written. Only the owner may read a private key.
const (
	modePrivate = 0o600
	modePublic  = 0o644
)

func keygen(out string) error {
	public, private, err := bundler.GenerateKey()
	if err != nil {
		return err
	}
	if err := os.WriteFile(out, []byte(private+"\n"), modePrivate); err != nil {
		return err
	}
	return os.WriteFile(out+".pub", []byte(public+"\n"), modePublic)
}

func newBundleCommand() command {
	var s storeFlags
	out := ""
	flags := newCommand("new", "write the next bundle to edit", helpNew)
	s.bind(flags)
	flags.String(&out, "", "out", "file to write; standard output when not given")
	return command{flags: flags, run: func(ctx context.Context) error {
		b, err := s.nextBundle(ctx)
		if err != nil {
			return err
		}
		data, err := b.Encode()
		if err != nil {
			return err
		}
		return writeOutput(out, data)
	}}
}

// nextBundle returns the bundle in force, or an example, with the next revision.
func (s *storeFlags) nextBundle(ctx context.Context) (*bundler.Bundle, error) {
	b := exampleBundle()
	if s.store != "" {
		p, err := s.publisher()
		if err != nil {
			return nil, err
		}
		current, _, err := p.Current(ctx)
		if err != nil && !isNotFound(err) {
			return nil, err
		}
		if err == nil {
			b = current
		}
	}
	b.Revision++
	b.ChangeID = uuid.NewString()
	b.Note = ""
	return b, nil
}

func exampleBundle() *bundler.Bundle {
	return &bundler.Bundle{
		FailureDomains: []bundler.FailureDomain{{Name: "huon-a", Region: "huon"}, {Name: "huon-b", Region: "huon"}},
		Models: []bundler.Model{{
			Name:     "rota",
			Version:  "v1",
			Manifest: bundler.Digest(nil),
			Share:    1,
		}},
		Services:   []bundler.Service{{Name: "bookings"}},
		Workspaces: []bundler.Workspace{{Name: "spawnrun", Models: []string{"rota"}, Services: []string{"bookings"}}},
	}
}

func checkCommand() command {
	file := ""
	flags := newCommand("check", "name every fault of a bundle", helpCheck)
	flags.AddPositionalValue(&file, "FILE", 1, true, "bundle to check")
	return command{flags: flags, run: func(context.Context) error {
		b, err := readBundle(file)
		if err != nil {
			return err
		}
		fmt.Printf("%s: revision %d is sound: %d failure domains, %d models, %d services, %d workspaces\n",
			file, b.Revision, len(b.FailureDomains), len(b.Models), len(b.Services), len(b.Workspaces))
		return nil
	}}
}

func readBundle(file string) (*bundler.Bundle, error) {
	data, err := readFile(file)
	if err != nil {
		return nil, err
	}
	return bundler.Parse(data)
}

func signCommand() command {
	var file, key, out string
	flags := newCommand("sign", "add an operator's sign-off", helpSign)
	flags.AddPositionalValue(&file, "FILE", 1, true, "bundle, or signed bundle")
	flags.String(&key, "", "key", "file with the operator's private key")
	flags.String(&out, "", "out", "file for the signed bundle; standard output when not given")
	return command{flags: flags, run: func(context.Context) error {
		r, err := readRecord(file)
		if err != nil {
			return err
		}
		if err := signWithKeyFile(r, key); err != nil {
			return err
		}
		data, err := r.Encode()
		if err != nil {
			return err
		}
		return writeOutput(out, append(data, '\n'))
	}}
}

func readFile(file string) ([]byte, error) {
	data, err := os.ReadFile(file)
	return data, oops.Hint("`oriolecroft bundle --help` shows the steps and their files").Wrapf(err, "read file")
}

// readRecord reads a signed bundle, or a bundle that is not signed yet.
func readRecord(file string) (*bundler.Record, error) {
	data, err := readFile(file)
	if err != nil {
		return nil, err
	}
	r, err := bundler.DecodeRecord(data)
	if err == nil && len(r.Payload) > 0 {
		_, err = bundler.Parse(r.Payload)
		return r, err
	}
	if _, err := bundler.Parse(data); err != nil {
		return nil, err
	}
	return &bundler.Record{Payload: data}, nil
}

func signWithKeyFile(r *bundler.Record, keyFile string) error {
	if keyFile == "" {
		return &UsageError{Problem: "--key: give the file with your private key; `oriolecroft bundle keygen` makes one"}
	}
	private, err := readFile(keyFile)
	if err != nil {
		return err
	}
	return r.Sign(strings.TrimSpace(string(private)))
}

func showCommand() command {
	var s storeFlags
	var asJSON bool
	var revision uint64
	flags := newCommand("show", "show the bundle in force", helpShow)
	s.bind(flags)
	flags.UInt64(&revision, "", "revision", "an earlier revision; 0 means the one in force")
	flags.Bool(&asJSON, "", "json", "print JSON")
	return command{flags: flags, run: func(ctx context.Context) error {
		b, err := s.fetchBundle(ctx, revision)
		if err != nil {
			return err
		}
		if asJSON {
			data, err := b.Encode()
			if err != nil {
				return err
			}
			return writeOutput("", data)
		}
		printBundle(b)
		return nil
	}}
}

func diffCommand() command {
	var s storeFlags
	var asJSON bool
	var first, second string
	flags := newCommand("diff", "compare two bundles", helpDiff)
	s.bind(flags)
	flags.AddPositionalValue(&first, "FILE", 1, true, "bundle")
	flags.AddPositionalValue(&second, "OTHER", 2, false, "second bundle; the one in force when not given")
	flags.Bool(&asJSON, "", "json", "print JSON")
	return command{flags: flags, run: func(ctx context.Context) error {
		ours, err := readBundle(first)
		if err != nil {
			return err
		}
		var other *bundler.Bundle
		if second != "" {
			other, err = readBundle(second)
		} else {
			other, err = s.fetchBundle(ctx, 0)
		}
		if err != nil {
			return err
		}
		return printDiff(bundler.Diff(other, ours), asJSON)
	}}
}

func printDiff(changes []bundler.Change, asJSON bool) error {
	if asJSON {
		return printJSON(changes)
	}
	if len(changes) == 0 {
		fmt.Println("no difference")
	}
	for _, c := range changes {
		fmt.Printf("%-45s %s -> %s\n", c.Field, orDash(c.Old), orDash(c.New))
	}
	return nil
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func printJSON(v any) error {
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// writeOutput writes data to a file, or to standard output if file is empty.
func writeOutput(file string, data []byte) error {
	if file == "" {
		_, err := os.Stdout.Write(data)
		return err
	}
	return os.WriteFile(file, data, modePublic)
}

func printBundle(b *bundler.Bundle) {
	fmt.Printf("revision %d  change %s  %s\n", b.Revision, b.ChangeID, b.Note)
	for _, d := range b.FailureDomains {
		state := "in use"
		if d.Drained {
			state = "drained"
		}
		fmt.Printf("failure domain  %-20s region %-15s %s\n", d.Name, d.Region, state)
	}
	for _, m := range b.Models {
		fmt.Printf("model           %-20s version %-14s share %d in %s\n", m.Name, m.Version, m.Share, orAll(m.FailureDomains))
	}
	for _, s := range b.Services {
		fmt.Printf("service         %-20s idempotent %-11t in %s\n", s.Name, s.Idempotent, orAll(s.FailureDomains))
	}
	for _, w := range b.Workspaces {
		fmt.Printf("workspace       %-20s models %s, services %s, priority %d\n",
			w.Name, orDash(strings.Join(w.Models, ",")), orDash(strings.Join(w.Services, ",")), w.Priority)
	}
}

func orAll(names []string) string {
	if len(names) == 0 {
		return "all"
	}
	return strings.Join(names, ",")
}

// defaultRollWait is the default of --wait.
const defaultRollWait = time.Minute
