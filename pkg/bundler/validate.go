package bundler

import (
	"fmt"
	"regexp"
	"strings"
)

// Fault is an invalid field of a bundle.
type Fault struct {
	// Field is the path of the faulty field, such as "workspaces[2].limits.concurrent".
	Field string `json:"field"`
	// Problem describes the fault and what would be valid.
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

func (v *validator) addFault(field, format string, args ...any) {
	v.faults = append(v.faults, Fault{Field: field, Problem: fmt.Sprintf(format, args...)})
}

// name checks that a name is valid and not yet in seen, and adds it.
func (v *validator) name(field, name string, seen map[string]bool) {
	if !namePattern.MatchString(name) {
		v.addFault(field, "%q is no name: use 1 to 63 of a-z, 0-9, '.' and '-', a letter or digit at both ends", name)
		return
	}
	if seen[name] {
		v.addFault(field, "%q stands twice", name)
	}
	seen[name] = true
}

func (v *validator) digest(field, digest string) {
	if !digestPattern.MatchString(digest) {
		v.addFault(field, "%q is no digest: want \"sha256:\" and 64 hex digits", digest)
	}
}

// references checks that each name in a list is defined and occurs only once.
func (v *validator) references(field, kind string, names []string, defined map[string]bool) {
	seen := map[string]bool{}
	for i, n := range names {
		path := fmt.Sprintf("%s[%d]", field, i)
		if !defined[n] {
			v.addFault(path, "no %s %q in this bundle", kind, n)
		}
		if seen[n] {
			v.addFault(path, "%q stands twice", n)
		}
		seen[n] = true
	}
}

// Validate checks the whole bundle and reports all faults as one *FaultsError.
func (b *Bundle) Validate() error {
	v := new(validator)
	if b.Revision == 0 {
		v.addFault("revision", "must be at least 1")
	}
	if b.ChangeID == "" {
		v.addFault("changeId", "must not be empty; `bundle new` makes one")
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
		v.addFault("failureDomains", "must name at least one")
	}
	for i, d := range b.FailureDomains {
		path := fmt.Sprintf("failureDomains[%d]", i)
		v.name(path+".name", d.Name, seen)
		if !namePattern.MatchString(d.Region) {
			v.addFault(path+".region", "%q is no name of a region", d.Region)
		}
	}
	return seen
}

func (v *validator) models(b *Bundle, domains map[string]bool) map[string]bool {
	seen := map[string]bool{}
	for i, m := range b.Models {
		path := fmt.Sprintf("models[%d]", i)
		v.name(path+".name", m.Name, seen)
		if m.Version == "" {
			v.addFault(path+".version", "must not be empty")
		}
		v.digest(path+".manifest", m.Manifest)
		v.references(path+".failureDomains", "failure domain", m.FailureDomains, domains)
		if m.Share < 0 {
			v.addFault(path+".share", "%d is below zero", m.Share)
		}
		v.adapters(path, m.Adapters)
	}
	return seen
}

func (v *validator) adapters(path string, adapters []Adapter) {
	seen := map[string]bool{}
	for i, a := range adapters {
		path := fmt.Sprintf("%s.adapters[%d]", path, i)
		v.name(path+".name", a.Name, seen)
		if a.Version == "" {
			v.addFault(path+".version", "must not be empty")
		}
		v.digest(path+".manifest", a.Manifest)
	}
}

func (v *validator) services(b *Bundle, domains map[string]bool) map[string]bool {
	seen := map[string]bool{}
	for i, s := range b.Services {
		path := fmt.Sprintf("services[%d]", i)
		v.name(path+".name", s.Name, seen)
		v.references(path+".failureDomains", "failure domain", s.FailureDomains, domains)
	}
	return seen
}

func (v *validator) workspaces(b *Bundle, models, services map[string]bool) {
	seen := map[string]bool{}
	if len(b.Workspaces) == 0 {
		v.addFault("workspaces", "must name at least one")
	}
	for i, w := range b.Workspaces {
		path := fmt.Sprintf("workspaces[%d]", i)
		v.name(path+".name", w.Name, seen)
		v.references(path+".models", "model", w.Models, models)
		v.references(path+".services", "service", w.Services, services)
		if len(w.Models)+len(w.Services) == 0 {
			v.addFault(path, "names no model and no service")
		}
		v.limits(path+".limits", w.Limits)
	}
}

func (v *validator) limits(path string, l Limits) {
	if l.RequestsPerSecond < 0 {
		v.addFault(path+".requestsPerSecond", "%v is below zero; leave it out for no limit", l.RequestsPerSecond)
	}
	if l.TokensPerSecond < 0 {
		v.addFault(path+".tokensPerSecond", "%v is below zero; leave it out for no limit", l.TokensPerSecond)
	}
	if l.Concurrent < 0 {
		v.addFault(path+".concurrent", "%d is below zero; leave it out for no limit", l.Concurrent)
	}
}

// placement rejects what could never be served: a failure domain that isn't drained
// and has no model and no service, and a model or service whose failure domains are
// all drained.
func (v *validator) placement(b *Bundle) {
	for i, d := range b.FailureDomains {
		if !d.Drained && !b.placedIn(d.Name) {
			v.addFault(fmt.Sprintf("failureDomains[%d]", i),
				"%q is in use but no model and no service is placed in it; place one or drain it", d.Name)
		}
	}
	for i, m := range b.Models {
		if !b.servedSomewhere(m.FailureDomains) {
			v.addFault(fmt.Sprintf("models[%d].failureDomains", i), "%q would be served nowhere: all its failure domains are drained", m.Name)
		}
	}
	for i, s := range b.Services {
		if !b.servedSomewhere(s.FailureDomains) {
			v.addFault(fmt.Sprintf("services[%d].failureDomains", i), "%q would run nowhere: all its failure domains are drained", s.Name)
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
