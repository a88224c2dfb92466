//go:build !race

package proofs_test

const raceEnabled = false
