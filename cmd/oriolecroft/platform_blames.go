package main

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"os"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/samber/oops"

	"github.com/oriolecroft/oriolecroft/internal/localizer"
	"github.com/oriolecroft/oriolecroft/internal/messenger"
	"github.com/oriolecroft/oriolecroft/platform"
)

const helpPlatformBlames = `
  Lists the parts of prompts that entries refuse, as upstreams crash on them, with the
  evidence: how many upstreams crashed since the last reply to a prompt with the part,
  which ones, and how likely that is for a part that has nothing to do with it. Entries
  try one request with such a part after 2 minutes and again after 10; a reply ends the
  blame.

  --lift PART ends a blame at once, as when the upstreams were mended. Crashes from
  before don't count any more. It works while the store is out, if one of the seeds
  answers.

  The settings file (ORIOLECROFT_SETTINGS) names the store and the seeds.

  Exit status: 0 done, 5 no entry answered, 2 the part isn't blamed.

  Examples:
    ORIOLECROFT_SETTINGS=/etc/oriolecroft/local.toml oriolecroft platform blames
    ORIOLECROFT_SETTINGS=/etc/oriolecroft/local.toml oriolecroft platform blames --lift 91bd3f06`

// listTimeout limits the request for the store's list of entries; if it fails, the seeds are asked.
const listTimeout = 3 * time.Second

// liftReason is the logged reason of a blame that an operator lifted.
const liftReason = "lifted by an operator"

func platformBlamesCommand() command {
	flags := newCommand("blames", "list the parts of prompts that are refused, or lift one", helpPlatformBlames)
	lift, asJSON := "", false
	flags.String(&lift, "", "lift", "part that is to be blamed no more")
	flags.Bool(&asJSON, "", "json", "print JSON")
	return command{flags: flags, run: func(ctx context.Context) error {
		s, err := platform.LoadSettings()
		if err != nil {
			return oops.Hint("name a settings file by " + platform.SettingsVariable).Wrap(&UsageError{Problem: err.Error()})
		}
		b := &blameSurvey{store: platform.NewStore(s.Store.Address)}
		b.findEntries(ctx, s)
		if err := b.fetch(ctx); err != nil {
			return err
		}
		switch {
		case lift != "":
			return b.lift(ctx, os.Stdout, lift)
		case asJSON:
			return printJSON(b.active())
		default:
			return printBlames(os.Stdout, b.active())
		}
	}}
}

// blameSurvey collects the blames of the entries of a deployment.
type blameSurvey struct {
	store   *platform.Store
	entries []netip.AddrPort
	// newestByPart holds the newest blame of each part.
	newestByPart map[string]localizer.Blame
}

// findEntries lists the entries in the store, or else the seeds.
func (b *blameSurvey) findEntries(ctx context.Context, s *platform.Settings) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	list, err := b.store.List(ctx)
	if err != nil {
		fmt.Fprintf(os.Stderr, "the store does not answer, asking the seeds: %v\n", err)
		b.entries = s.Seeds
		return
	}
	if v := viewOfList(list); v != nil {
		for _, m := range v.Members {
			b.entries = append(b.entries, m.Peers)
		}
	}
	if len(b.entries) == 0 {
		b.entries = s.Seeds
	}
}

// callEntries calls all entries concurrently and returns the replies of those that answer.
func (b *blameSurvey) callEntries(ctx context.Context, u localizer.Update) (replies []localizer.Update) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	for _, a := range b.entries {
		wg.Go(func() {
			client := &messenger.Client{Address: a, Timeout: surveyTimeout}
			defer client.Close()
			reply, err := client.Evidence(ctx, u)
			if err != nil {
				fmt.Fprintf(os.Stderr, "entry at %v: %v\n", a, err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			replies = append(replies, reply)
		})
	}
	wg.Wait()
	return replies
}

// NoEntryError reports that no entry of the deployment answers.
type NoEntryError struct{ Asked int }

func (e *NoEntryError) Error() string { return fmt.Sprintf("none of %d entries answers", e.Asked) }

func (b *blameSurvey) fetch(ctx context.Context) error {
	replies := b.callEntries(ctx, localizer.Update{All: true})
	if len(replies) == 0 {
		return &NoEntryError{Asked: len(b.entries)}
	}
	b.newestByPart = map[string]localizer.Blame{}
	for _, reply := range replies {
		for _, blame := range reply.Blames {
			if known, ok := b.newestByPart[blame.Part]; !ok || blame.Supersedes(&known) {
				b.newestByPart[blame.Part] = blame
			}
		}
	}
	return nil
}

// active lists the blames that aren't lifted, sorted by part.
func (b *blameSurvey) active() []localizer.Blame {
	all := []localizer.Blame{}
	for _, blame := range b.newestByPart {
		if !blame.Lifted {
			all = append(all, blame)
		}
	}
	slices.SortFunc(all, func(x, y localizer.Blame) int { return strings.Compare(x.Part, y.Part) })
	return all
}

func (b *blameSurvey) lift(ctx context.Context, out io.Writer, part string) error {
	blame, ok := b.newestByPart[part]
	if !ok || blame.Lifted {
		return &UsageError{Problem: fmt.Sprintf("--lift: part %s isn't blamed", part)}
	}
	blame.Lifted, blame.Reason = true, liftReason
	answered := len(b.callEntries(ctx, localizer.Update{Blames: []localizer.Blame{blame}}))
	if answered == 0 {
		return &NoEntryError{Asked: len(b.entries)}
	}
	storeResult := "kept in the store"
	if err := b.store.PutBlame(ctx, blame); err != nil {
		storeResult = fmt.Sprintf("not kept in the store yet (%v), entries do that", err)
	}
	_, err := fmt.Fprintf(out, "part %s: lifted at %d of %d entries, the others follow; %s\n", part, answered, len(b.entries), storeResult)
	return err
}

func printBlames(out io.Writer, all []localizer.Blame) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "PART\tSINCE\tDECIDED BY\tCRASHES\tCHANCE\tTRIALS\tUPSTREAMS")
	for _, b := range all {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%.1g\t%d\t%s\n", b.Part, b.DecidedAt.UTC().Format(time.RFC3339), b.Entry, b.Crashes, b.Chance, b.Trials,
			strings.Join(b.Upstreams, ","))
	}
	return w.Flush()
}
