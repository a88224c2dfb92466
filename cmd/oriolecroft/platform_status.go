package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/netip"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/samber/oops"
	"k8s.io/utils/clock"

	"github.com/oriolecroft/oriolecroft/internal/logger"
	"github.com/oriolecroft/oriolecroft/internal/registrar"
	"github.com/oriolecroft/oriolecroft/internal/surveyor"
	"github.com/oriolecroft/oriolecroft/platform"
)

const helpPlatformStatus = `
  Asks processes what each believes and how old that is, all at once, and prints a
  line for each: revision and when the store confirmed it, route table, weights
  named (agents: held/named), upstreams, what these ask of the process (how many
  rest, leave or limit their requests; with --json each by itself), parts of
  prompts that are refused (platform blames), entries, log lines dropped, and what
  is wrong. A process behind the others is asked once more after a second.

  Without --vms the processes are those that the store knows, which the settings
  file names (ORIOLECROFT_SETTINGS): entries, and agents beside engines.

  Exit status: 0 all agree and answer, 6 some don't (the last column says why),
  5 the store did not answer.

  Examples:
    oriolecroft platform status --vms 10.1.0.4,10.1.0.5
    oriolecroft platform status --vms 10.1.0.4:9464 --json
    ORIOLECROFT_SETTINGS=/etc/oriolecroft/local.toml oriolecroft platform status`

// surveyTimeout limits a request to one process.
const surveyTimeout = 2 * time.Second

// DisagreementError reports processes that disagree with others or don't answer.
type DisagreementError struct{ Faulty, Asked int }

func (e *DisagreementError) Error() string {
	return fmt.Sprintf("%d of %d processes are out of step or do not answer", e.Faulty, e.Asked)
}

func platformStatusCommand() command {
	flags := newCommand("status", "show what each process believes, and who disagrees", helpPlatformStatus)
	var vms []string
	asJSON, port, timeout := false, uint16(metricsPort), surveyTimeout
	flags.StringSlice(&vms, "", "vms", "addresses of VMs, with commas or repeated; those known to the store when not given")
	flags.UInt16(&port, "", "port", "port for metrics where an address has none")
	flags.Duration(&timeout, "", "timeout", "how long each process has to answer")
	flags.Bool(&asJSON, "", "json", "print JSON")
	return command{flags: flags, run: func(ctx context.Context) error {
		addresses, err := surveyAddresses(ctx, vms, port)
		if err != nil {
			return err
		}
		s := surveyor.Surveyor{Clock: clock.RealClock{}, Timeout: timeout}
		ps := s.Survey(ctx, addresses)
		if asJSON {
			err = printJSON(ps)
		} else {
			err = printProcesses(os.Stdout, ps)
		}
		if err != nil {
			return err
		}
		return disagreement(ps)
	}}
}

func disagreement(ps []surveyor.Process) error {
	faulty := 0
	for _, p := range ps {
		if len(p.Faults) > 0 {
			faulty++
		}
	}
	if faulty == 0 {
		return nil
	}
	return &DisagreementError{Faulty: faulty, Asked: len(ps)}
}

// surveyAddresses returns the addresses of vms, or else of the processes in the store.
func surveyAddresses(ctx context.Context, vms []string, port uint16) ([]netip.AddrPort, error) {
	var as []netip.AddrPort
	for _, v := range strings.Split(strings.Join(vms, ","), ",") {
		if v = strings.TrimSpace(v); v == "" {
			continue
		}
		a, err := vmAddress(v, port)
		if err != nil {
			return nil, err
		}
		as = append(as, a)
	}
	if len(as) > 0 {
		return as, nil
	}
	s, err := platform.LoadSettings()
	if err != nil {
		return nil, oops.Hint("give --vms, or name a settings file by " + platform.SettingsVariable).Wrap(&UsageError{Problem: err.Error()})
	}
	b, err := platform.NewStore(s.Store.Address).List(ctx)
	if err != nil {
		return nil, err
	}
	as = processAddresses(b, port)
	if len(as) == 0 {
		return nil, &UsageError{Problem: "the store knows no entry and no engine; give --vms"}
	}
	return as, nil
}

func vmAddress(text string, port uint16) (netip.AddrPort, error) {
	if a, err := netip.ParseAddr(text); err == nil {
		return netip.AddrPortFrom(a, port), nil
	}
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		return a, &UsageError{Problem: fmt.Sprintf("--vms: %q is no IP number, with or without a port", text)}
	}
	return a, nil
}

// viewOfList returns the view of a list of the store; nil for a list that can't be read.
func viewOfList(b registrar.Batch) *registrar.View {
	// Only daemons need the registrar's log lines about records.
	logger.Install(io.Discard)
	r := &registrar.Registrar{Clock: clock.RealClock{}, Decode: platform.Decode}
	r.Apply(b)
	return r.View()
}

// processAddresses returns the metrics addresses of all entries and agents in a list of
// the store.
func processAddresses(b registrar.Batch, port uint16) []netip.AddrPort {
	v := viewOfList(b)
	if v == nil {
		return nil
	}
	hosts := map[netip.Addr]bool{}
	for _, m := range v.Members {
		hosts[m.Peers.Addr()] = true
	}
	for _, u := range v.Upstreams {
		if v.Table != nil && v.Table.Services[u.Service] != nil && v.Table.Services[u.Service].Engine != nil {
			hosts[u.Address.Addr()] = true
		}
	}
	var as []netip.AddrPort
	for _, a := range slices.SortedFunc(maps.Keys(hosts), netip.Addr.Compare) {
		as = append(as, netip.AddrPortFrom(a, port))
	}
	return as
}

func printProcesses(out io.Writer, ps []surveyor.Process) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "VM\tROLE\tREVISION\tCONFIRMED\tTABLE\tWEIGHTS\tUPSTREAMS\tTERMS\tBLAMES\tENTRIES\tDROPPED\tFAULTS")
	for _, p := range ps {
		faults := strings.Join(p.Faults, "; ")
		if faults == "" {
			faults = "-"
		}
		st := p.Status
		if st == nil {
			fmt.Fprintf(w, "%s\t?\t?\t?\t?\t?\t?\t?\t?\t?\t?\t%s\n", p.Address, faults)
			continue
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%.1fs ago\t%d\t%s\t%d\t%s\t%d\t%d\t%d\t%s\n", st.VM, st.Role, st.Revision, st.ConfirmedAgo,
			st.TableVersion, weightsText(st), st.Upstreams, termsText(st.Terms), len(st.Blames), st.Entries, st.LinesDropped, faults)
	}
	return w.Flush()
}

// termsText counts the upstreams that state terms, by kind.
func termsText(all []surveyor.Terms) string {
	backingOff, leaving, limited := 0, 0, 0
	for _, t := range all {
		switch {
		case t.Leaving:
			leaving++
		case t.RestSeconds > 0:
			backingOff++
		default:
			limited++
		}
	}
	var texts []string
	for _, part := range []struct {
		count int
		name  string
	}{{backingOff, "resting"}, {leaving, "leaving"}, {limited, "limited"}} {
		if part.count > 0 {
			texts = append(texts, fmt.Sprintf("%d %s", part.count, part.name))
		}
	}
	if len(texts) == 0 {
		return "-"
	}
	return strings.Join(texts, ", ")
}

// weightsText returns model:announced, for an agent model:held/announced.
func weightsText(st *surveyor.Status) string {
	var texts []string
	for _, model := range slices.Sorted(maps.Keys(st.Weights)) {
		text := fmt.Sprintf("%s:%d", model, st.Weights[model])
		if st.Engine != nil && st.Engine.Model == model {
			text = fmt.Sprintf("%s:%d/%d", model, st.Engine.Held, st.Weights[model])
		}
		texts = append(texts, text)
	}
	if st.Engine != nil && len(texts) == 0 {
		texts = append(texts, fmt.Sprintf("%s:%d/-", st.Engine.Model, st.Engine.Held))
	}
	if len(texts) == 0 {
		return "-"
	}
	return strings.Join(texts, ",")
}
