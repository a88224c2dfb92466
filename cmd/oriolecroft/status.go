package main

import (
	"context"
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/integrii/flaggy"

	"github.com/oriolecroft/oriolecroft/internal/configurer"
	"github.com/oriolecroft/oriolecroft/internal/inspector"
)

const helpStatus = `
  Shows entries, agents and who has confirmed which revision, as the asked
  entries know it. Exit status 6 when an asked entry did not answer.

  Example:
    oriolecroft status --operators 127.0.0.1:7201,127.0.0.1:7202 --json`

func statusCommand() command {
	var operators []string
	var tls configurer.TLS
	var asJSON bool
	flags := newCommand("status", "show entries, agents and revisions", helpStatus)
	flags.StringSlice(&operators, "", "operators", "operators' addresses of the entries, with commas or repeated [OC_ENTRIES_OPERATORS]")
	flags.Bool(&asJSON, "", "json", "print JSON")
	bindTLS(&tls, flags)
	return command{flags: flags, run: func(ctx context.Context) error {
		addresses, err := operatorAddresses(operators)
		if err != nil {
			return err
		}
		if len(addresses) == 0 {
			return &UsageError{Problem: "--operators: give at least one entry's operators' address"}
		}
		i, err := newInspector(&tls)
		if err != nil {
			return err
		}
		d := i.Survey(ctx, addresses)
		if asJSON {
			err = printJSON(d)
		} else {
			err = printDeployment(d)
		}
		if err != nil || len(d.Silent) == 0 {
			return err
		}
		return &UnconfirmedError{Missing: fmt.Sprintf("%d entries that gave no answer", len(d.Silent))}
	}}
}

// bindTLS adds the flags for certificates, with defaults from the environment.
func bindTLS(s *configurer.TLS, flags *flaggy.Subcommand) {
	s.Certificate = os.Getenv("OC_TLS_CERTIFICATE")
	s.Key = os.Getenv("OC_TLS_KEY")
	s.Authority = os.Getenv("OC_TLS_AUTHORITY")
	s.Bind(flags)
}

func newInspector(s *configurer.TLS) (inspector.Inspector, error) {
	c, err := s.Certifier()
	return inspector.Inspector{Certifier: c}, err
}

func printDeployment(d inspector.Deployment) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ENTRY\tDOMAIN\tREVISION\tFRESH\tSTORE\tRUNNING\tALARMS")
	for _, e := range d.Entries {
		fmt.Fprintf(w, "%s\t%s\t%d\t%t\t%t\t%d\t%d\n", e.State.ID, e.State.FailureDomain,
			e.State.Freshness.Revision, e.Fresh, e.State.StoreReachable, e.Running, len(e.Alarms))
	}
	for address, reason := range d.Silent {
		fmt.Fprintf(w, "%s\tno answer: %s\t\t\t\t\t\n", address, reason)
	}
	fmt.Fprintln(w, "\nAGENT\tDOMAIN\tREVISION\tGATE\tRUNNING\tSERVES\tVERSION")
	for _, a := range d.Agents {
		serves := a.Model
		if a.Service != "" {
			serves = a.Service
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%d/%d\t%s\t%s\n", a.ID, a.FailureDomain, a.Revision, a.Gate,
			a.Running, a.Limit, serves, a.Version)
	}
	return w.Flush()
}
