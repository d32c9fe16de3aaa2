// Command mutate removes guards of the decision cores one at a time and runs the tests that must notice. It reads the list of
// mutations from .ci/mutations.json and prints one line for each: "killed" if the tests fail, "SURVIVED" if they pass.
//
//	go run .ci/mutate.go            # all
//	go run .ci/mutate.go ibisrange  # those whose file or name contains the word
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// workers is the number of mutations that are tested at once.
	workers = 3
	// timeout limits the tests of one mutation.
	timeout = 5 * time.Minute
)

// mutation replaces one text of a file.
type mutation struct {
	// Name says which guard is removed.
	Name string `json:"name"`
	File string `json:"file"`
	// From must occur once in the file.
	From string `json:"from"`
	To   string `json:"to"`
	// Tests lists the packages whose tests must fail; empty means the package of the file.
	Tests []string `json:"tests,omitempty"`
	// Equivalent is why the mutation changes nothing that a test could notice; such a mutation must survive.
	Equivalent string `json:"equivalent,omitempty"`
}

// result is what the tests said of a mutation.
type result string

const (
	resultKilled   result = "killed"
	resultSurvived result = "SURVIVED"
	resultInvalid  result = "INVALID"
)

func main() {
	filter := ""
	if len(os.Args) > 1 {
		filter = os.Args[1]
	}
	if err := run(filter); err != nil {
		fmt.Fprintln(os.Stderr, "mutate:", err)
		os.Exit(1)
	}
}

// run tests the mutations that match the filter; it fails if one has another result than expected.
func run(filter string) error {
	mutations, err := load(filter)
	if err != nil {
		return err
	}
	var mu sync.Mutex
	unexpected := 0
	var group errgroup.Group
	group.SetLimit(workers)
	for _, m := range mutations {
		group.Go(func() error {
			got, detail := m.test()
			mu.Lock()
			defer mu.Unlock()
			note := ""
			if m.Equivalent != "" {
				note = " (expected: " + m.Equivalent + ")"
			}
			fmt.Printf("%-9s %s: %s%s%s\n", got, m.File, m.Name, note, detail)
			if (got == resultKilled) == (m.Equivalent != "") || got == resultInvalid {
				unexpected++
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	fmt.Printf("%d mutations, %d with an unexpected result\n", len(mutations), unexpected)
	if unexpected > 0 {
		return errors.New("some guards are not covered by a test")
	}
	return nil
}

func load(filter string) ([]mutation, error) {
	text, err := os.ReadFile(filepath.Join(".ci", "mutations.json"))
	if err != nil {
		return nil, err
	}
	var all, chosen []mutation
	if err := json.Unmarshal(text, &all); err != nil {
		return nil, fmt.Errorf("mutations.json: %w", err)
	}
	for _, m := range all {
		if strings.Contains(m.File+" "+m.Name, filter) {
			chosen = append(chosen, m)
		}
	}
	return chosen, nil
}

// test builds the project with the mutation and runs the tests.
func (m mutation) test() (result, string) {
	dir, err := os.MkdirTemp("", "mutate")
	if err != nil {
		return resultInvalid, ": " + err.Error()
	}
	defer func() { _ = os.RemoveAll(dir) }()
	overlay, err := m.overlay(dir)
	if err != nil {
		return resultInvalid, ": " + err.Error()
	}
	packages := m.Tests
	if len(packages) == 0 {
		packages = []string{"./" + filepath.Dir(m.File)}
	}
	if out, err := exec.Command("go", append([]string{"vet", "-overlay", overlay}, packages...)...).CombinedOutput(); err != nil {
		return resultInvalid, ": it doesn't compile: " + string(out)
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	args := append([]string{"test", "-count=1", "-failfast", "-overlay", overlay}, packages...)
	if exec.CommandContext(ctx, "go", args...).Run() != nil {
		return resultKilled, ""
	}
	return resultSurvived, ""
}

// overlay writes the mutated file and the list that tells the go command of it, and returns the path of the list.
func (m mutation) overlay(dir string) (string, error) {
	path, err := filepath.Abs(m.File)
	if err != nil {
		return "", err
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	if n := strings.Count(string(text), m.From); n != 1 {
		return "", fmt.Errorf("%q occurs %d times, must occur once", m.From, n)
	}
	mutated := filepath.Join(dir, filepath.Base(path))
	if err := os.WriteFile(mutated, []byte(strings.Replace(string(text), m.From, m.To, 1)), 0o600); err != nil {
		return "", err
	}
	list, err := json.Marshal(map[string]any{
		"Replace": map[string]string{
			path: mutated,
		},
	})
	if err != nil {
		return "", err
	}
	file := filepath.Join(dir, "overlay.json")
	return file, os.WriteFile(file, list, 0o600)
}
