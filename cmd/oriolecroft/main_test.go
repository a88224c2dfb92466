package main_test

import (
	"bytes"
	"errors"
	"fmt"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/oriolecroft/oriolecroft/pkg/bundler"
	"github.com/oriolecroft/oriolecroft/standins/imitator"
)

// binary is built once for all tests of this package.
var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "oriolecroft")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binary = filepath.Join(dir, "oriolecroft")
	if out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%v\n%s", err, out)
		os.Exit(1)
	}
	status := m.Run()
	os.RemoveAll(dir)
	os.Exit(status)
}

// command runs the binary in a directory and returns its output and its exit
// status.
func command(t *testing.T, dir string, args ...string) (out string, status int) {
	t.Helper()
	c := exec.CommandContext(t.Context(), binary, args...)
	c.Dir = dir
	c.Env = append(os.Environ(), "OC_STORE=", "OC_KEYS=", "OC_ENTRIES_OPERATORS=")
	var b bytes.Buffer
	c.Stdout, c.Stderr = &b, &b
	err := c.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		must.NoError(t, err)
	}
	return b.String(), c.ProcessState.ExitCode()
}

// operator holds a directory with a key pair, the public key and a store's address.
type operator struct {
	dir, keys, store string
}

func newOperator(t *testing.T) operator {
	t.Helper()
	o := operator{dir: t.TempDir()}
	_, status := command(t, o.dir, "bundle", "keygen", "--out", "op.key")
	must.Eq(t, 0, status)
	pub, err := os.ReadFile(filepath.Join(o.dir, "op.key.pub"))
	must.NoError(t, err)
	o.keys = strings.TrimSpace(string(pub))
	s := httptest.NewServer((&imitator.KV{}).Handler())
	t.Cleanup(s.Close)
	o.store = strings.TrimPrefix(s.URL, "http://")
	return o
}

// run runs a command with the store and the keys.
func (o operator) run(t *testing.T, args ...string) (string, int) {
	t.Helper()
	return command(t, o.dir, append(args, "--store", o.store, "--keys", o.keys)...)
}

func (o operator) sign(t *testing.T, file string) {
	t.Helper()
	_, status := command(t, o.dir, "bundle", "sign", file, "--key", "op.key", "--out", "signed-"+file)
	must.Eq(t, 0, status)
}

func TestBundleFromNewToRoll(t *testing.T) {
	o := newOperator(t)
	_, status := o.run(t, "bundle", "new", "--out", "one.json")
	must.Eq(t, 0, status)
	out, status := command(t, o.dir, "bundle", "check", "one.json")
	must.Eq(t, 0, status)
	must.StrContains(t, out, "revision 1 is sound")
	o.sign(t, "one.json")
	out, status = o.run(t, "bundle", "roll", "signed-one.json")
	must.Eq(t, 0, status, must.Sprint(out))
	out, status = o.run(t, "bundle", "roll", "signed-one.json")
	must.Eq(t, 0, status)
	must.StrContains(t, out, "was accepted before")
	out, status = o.run(t, "bundle", "show")
	must.Eq(t, 0, status)
	must.StrContains(t, out, "revision 1")
}

func TestDrainAndReturn(t *testing.T) {
	o := newOperator(t)
	o.run(t, "bundle", "new", "--out", "one.json")
	o.sign(t, "one.json")
	o.run(t, "bundle", "roll", "signed-one.json")
	out, status := o.run(t, "drain", "huon-a", "--key", "op.key")
	must.Eq(t, 0, status, must.Sprint(out))
	out, _ = o.run(t, "bundle", "show")
	must.StrContains(t, out, "drained")
	out, status = o.run(t, "drain", "huon-a", "--key", "op.key")
	must.Eq(t, 0, status)
	must.StrContains(t, out, "nothing to do")
	out, status = o.run(t, "drain", "huon-b", "--key", "op.key")
	must.Eq(t, 3, status, must.Sprint(out))
	must.StrContains(t, out, "would be served nowhere")
	out, status = o.run(t, "return", "huon-a", "--key", "op.key")
	must.Eq(t, 0, status, must.Sprint(out))
	_, status = o.run(t, "drain", "tamar", "--key", "op.key")
	must.Eq(t, 2, status)
}

// Two operators prepare the next bundle at the same time. The second roll must fail
// with the differences from the first one's bundle and the next steps.
func TestSecondRollReportsRace(t *testing.T) {
	o := newOperator(t)
	o.run(t, "bundle", "new", "--out", "a.json")
	o.run(t, "bundle", "new", "--out", "b.json")
	data, err := os.ReadFile(filepath.Join(o.dir, "b.json"))
	must.NoError(t, err)
	b, err := bundler.Parse(data)
	must.NoError(t, err)
	b.Workspaces[0].Limits.Concurrent = 7
	data, err = b.Encode()
	must.NoError(t, err)
	must.NoError(t, os.WriteFile(filepath.Join(o.dir, "b.json"), data, 0o600))
	o.sign(t, "a.json")
	o.sign(t, "b.json")
	_, status := o.run(t, "bundle", "roll", "signed-a.json")
	must.Eq(t, 0, status)
	out, status := o.run(t, "bundle", "roll", "signed-b.json")
	must.Eq(t, 4, status)
	must.StrContains(t, out, "limits.concurrent")
	must.StrContains(t, out, "bundle new")
}

func TestExitStatus(t *testing.T) {
	o := newOperator(t)
	must.NoError(t, os.WriteFile(filepath.Join(o.dir, "bad.json"), []byte(`{"revision":0,"extra":1}`), 0o600))
	must.NoError(t, os.WriteFile(filepath.Join(o.dir, "empty.json"), []byte(`{"revision":0}`), 0o600))
	o.run(t, "bundle", "new", "--out", "one.json")
	cases := []struct {
		name   string
		args   []string
		status int
		output string
	}{
		{"no command", nil, 2, "First steps"},
		{"unknown key", []string{"bundle", "check", "bad.json"}, 3, `unknown field "extra"`},
		{"all faults at once", []string{"bundle", "check", "empty.json"}, 3, "workspaces: must name at least one"},
		{"no such file", []string{"bundle", "check", "none.json"}, 1, "hint:"},
		{"not signed", []string{"bundle", "roll", "one.json", "--store", o.store, "--keys", o.keys}, 3, "0 valid sign-offs of 1"},
		{"bad store", []string{"bundle", "show", "--store", "x", "--keys", o.keys}, 2, "--store"},
		{"unreachable store", []string{"bundle", "show", "--store", "127.0.0.1:1", "--keys", o.keys}, 5, ""},
		{"settings of an entry", []string{"entry"}, 2, "--keys"},
		{"settings of an agent", []string{"agent", "--engine", "127.0.0.1:1"}, 2, "--origin"},
		{"status without addresses", []string{"status"}, 2, "--operators"},
		{"status of an unreachable entry", []string{"status", "--operators", "127.0.0.1:1", "--json"}, 6, "127.0.0.1:1"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			out, status := command(t, o.dir, c.args...)
			must.Eq(t, c.status, status, must.Sprint(out))
			must.StrContains(t, out, c.output)
		})
	}
}
