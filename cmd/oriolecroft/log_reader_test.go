package main_test

import (
	"context"
	"io"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// firstLogHost is the first loopback host of these tests, which use two each.
const firstLogHost = 242

// Guards against an entry that ends, with its requests, as it writes a log line for a reader that has ended.
func TestEntryOutlivesTheReaderOfItsLog(t *testing.T) {
	t.Parallel()
	output, input, err := os.Pipe()
	must.NoError(t, err)
	e := startEntryWithOutput(t, firstLogHost, time.Second, input)
	must.NoError(t, input.Close())
	// The first line shows that the pipe is in use.
	_, err = io.ReadFull(output, make([]byte, 1))
	must.NoError(t, err)
	replies := make(chan int, 1)
	go func() { replies <- e.send(context.Background(), "during").Status }()
	time.Sleep(200 * time.Millisecond)
	must.NoError(t, output.Close())
	must.NoError(t, e.daemon.Process.Signal(syscall.SIGHUP))
	must.Eq(t, 200, <-replies)
	must.Eq(t, 200, e.send(t.Context(), "after").Status)
	status := e.stop(t, []stopEvent{{0, syscall.SIGTERM}})
	must.True(t, status.Exited(), must.Sprintf("%v", status.Signal()))
	must.Zero(t, status.ExitStatus())
}

// Guards against an entry that doesn't end until it is killed, as it waits for a reader that has stopped reading its log.
func TestEntryEndsWithoutTheReaderOfItsLog(t *testing.T) {
	t.Parallel()
	output, input, err := os.Pipe()
	must.NoError(t, err)
	e := startEntryWithOutput(t, firstLogHost+2, shortWork, input)
	defer output.Close()
	// The write blocks once the pipe is full, until the test ends.
	go func() { _, _ = input.Write(make([]byte, 1<<20)) }()
	time.Sleep(200 * time.Millisecond)
	must.NoError(t, e.daemon.Process.Signal(syscall.SIGHUP))
	must.Eq(t, 200, e.send(t.Context(), "after").Status)
	status := e.stop(t, []stopEvent{{0, syscall.SIGTERM}})
	must.True(t, status.Exited(), must.Sprintf("%v", status.Signal()))
	must.Zero(t, status.ExitStatus())
}
