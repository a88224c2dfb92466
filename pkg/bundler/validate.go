package bundler

import (
	"fmt"
	"regexp"
	"strings"
)

// Fault is one thing wrong with a bundle.
type Fault struct {
	// Field is the path of the faulty field, such as "workspaces[2].limits.concurrent".
	Field string `json:"field"`
	// Problem says what is wrong and what would be right.
	Problem string `json:"problem"`
}

// FaultsError reports every fault of a bundle at once.
type FaultsError struct {
	Faults []Fault
}

func (e *FaultsError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.Field + ": " + f.Problem
	}
	return strings.Join(lines, "\n")
}

// SizeError reports a bundle or record larger than the store can hold.
type SizeError struct {
	Bytes, Limit int
}

func (e *SizeError) Error() string {
	return fmt.Sprintf("bundle is %d bytes, over the limit of %d", e.Bytes, e.Limit)
}

// SyntaxError reports a bundle that is not JSON of the right shape.
type SyntaxError struct {
	// Offset is the byte at which decoding stopped.
	Offset int64
	Err    error
}

func (e *SyntaxError) Error() string {
	return fmt.Sprintf("bundle, byte %d: %v", e.Offset, e.Err)
}

func (e *SyntaxError) Unwrap() error { return e.Err }

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)
	digestPattern = regexp.MustCompile(`^sha256:[0-9a-f]{64}$`)
)

// validator collects faults.
type validator struct {
	faults []Fault
}

func (v *validator) add(field, format string, args ...any) {
	v.faults = append(v.faults, Fault{Field: field, Problem: fmt.Sprintf(format, args...)})
}

// name checks a name and that it stands only once in seen.
func (v *validator) name(field, name string, seen map[string]bool) {
	if !namePattern.MatchString(name) {
		v.add(field, "%q is no name: use 1 to 63 of a-z, 0-9, '.' and '-', a letter or digit at both ends", name)
		return
	}
	if seen[name] {
		v.add(field, "%q stands twice", name)
	}
	seen[name] = true
}

func (v *validator) digest(field, digest string) {
	if !digestPattern.MatchString(digest) {
		v.add(field, "%q is no digest: want \"sha256:\" and 64 hex digits", digest)
	}
}

// known checks that each name of a list is defined and stands only once.
func (v *validator) known(field, kind string, names []string, defined map[string]bool) {
	seen := map[string]bool{}
	for i, n := range names {
		at := fmt.Sprintf("%s[%d]", field, i)
		if !defined[n] {
			v.add(at, "no %s %q in this bundle", kind, n)
		}
		if seen[n] {
			v.add(at, "%q stands twice", n)
		}
		seen[n] = true
	}
}

// Validate checks the whole bundle and reports all faults as one *FaultsError.
func (b *Bundle) Validate() error {
	v := new(validator)
	if b.Revision == 0 {
		v.add("revision", "must be at least 1")
	}
	if b.ChangeID == "" {
		v.add("changeId", "must not be empty; `bundle new` makes one")
	}
	domains := v.failureDomains(b)
	models := v.models(b, domains)
	services := v.services(b, domains)
	v.workspaces(b, models, services)
	v.placement(b)
	if len(v.faults) > 0 {
		return &FaultsError{Faults: v.faults}
	}
	return nil
}

func (v *validator) failureDomains(b *Bundle) map[string]bool {
	seen := map[string]bool{}
	if len(b.FailureDomains) == 0 {
		v.add("failureDomains", "must name at least one")
	}
	for i, d := range b.FailureDomains {
		at := fmt.Sprintf("failureDomains[%d]", i)
		v.name(at+".name", d.Name, seen)
		if !namePattern.MatchString(d.Region) {
			v.add(at+".region", "%q is no name of a region", d.Region)
		}
	}
	return seen
}

func (v *validator) models(b *Bundle, domains map[string]bool) map[string]bool {
	seen := map[string]bool{}
	for i, m := range b.Models {
		at := fmt.Sprintf("models[%d]", i)
		v.name(at+".name", m.Name, seen)
		if m.Version == "" {
			v.add(at+".version", "must not be empty")
		}
		v.digest(at+".manifest", m.Manifest)
		v.known(at+".failureDomains", "failure domain", m.FailureDomains, domains)
		if m.Share < 0 {
			v.add(at+".share", "%d is below zero", m.Share)
		}
		v.adapters(at, m.Adapters)
	}
	return seen
}

func (v *validator) adapters(at string, adapters []Adapter) {
	seen := map[string]bool{}
	for i, a := range adapters {
		at := fmt.Sprintf("%s.adapters[%d]", at, i)
		v.name(at+".name", a.Name, seen)
		if a.Version == "" {
			v.add(at+".version", "must not be empty")
		}
		v.digest(at+".manifest", a.Manifest)
	}
}

func (v *validator) services(b *Bundle, domains map[string]bool) map[string]bool {
	seen := map[string]bool{}
	for i, s := range b.Services {
		at := fmt.Sprintf("services[%d]", i)
		v.name(at+".name", s.Name, seen)
		v.known(at+".failureDomains", "failure domain", s.FailureDomains, domains)
	}
	return seen
}

func (v *validator) workspaces(b *Bundle, models, services map[string]bool) {
	seen := map[string]bool{}
	if len(b.Workspaces) == 0 {
		v.add("workspaces", "must name at least one")
	}
	for i, w := range b.Workspaces {
		at := fmt.Sprintf("workspaces[%d]", i)
		v.name(at+".name", w.Name, seen)
		v.known(at+".models", "model", w.Models, models)
		v.known(at+".services", "service", w.Services, services)
		if len(w.Models)+len(w.Services) == 0 {
			v.add(at, "names no model and no service")
		}
		v.limits(at+".limits", w.Limits)
	}
}

func (v *validator) limits(at string, l Limits) {
	if l.RequestsPerSecond < 0 {
		v.add(at+".requestsPerSecond", "%v is below zero; leave it out for no limit", l.RequestsPerSecond)
	}
	if l.TokensPerSecond < 0 {
		v.add(at+".tokensPerSecond", "%v is below zero; leave it out for no limit", l.TokensPerSecond)
	}
	if l.Concurrent < 0 {
		v.add(at+".concurrent", "%d is below zero; leave it out for no limit", l.Concurrent)
	}
}

// placement refuses what could never be served: a failure domain in use to which
// no model and no service is given, and a model or service all of whose failure
// domains are drained.
func (v *validator) placement(b *Bundle) {
	for i, d := range b.FailureDomains {
		if !d.Drained && !b.placedIn(d.Name) {
			v.add(fmt.Sprintf("failureDomains[%d]", i),
				"%q is in use but no model and no service is placed in it; place one or drain it", d.Name)
		}
	}
	for i, m := range b.Models {
		if !b.servedSomewhere(m.FailureDomains) {
			v.add(fmt.Sprintf("models[%d].failureDomains", i), "%q would be served nowhere: all its failure domains are drained", m.Name)
		}
	}
	for i, s := range b.Services {
		if !b.servedSomewhere(s.FailureDomains) {
			v.add(fmt.Sprintf("services[%d].failureDomains", i), "%q would run nowhere: all its failure domains are drained", s.Name)
		}
	}
}

func (b *Bundle) placedIn(domain string) bool {
	for _, m := range b.Models {
		if b.Serves(m.FailureDomains, domain) {
			return true
		}
	}
	for _, s := range b.Services {
		if b.Serves(s.FailureDomains, domain) {
			return true
		}
	}
	return false
}

func (b *Bundle) servedSomewhere(placed []string) bool {
	for _, d := range b.FailureDomains {
		if b.Serves(placed, d.Name) {
			return true
		}
	}
	return false
}
