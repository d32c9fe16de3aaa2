package rig

import (
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"

	"github.com/ibisridge/ibisridge/internal/standin/ibisrowstore"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// world is what a case runs in.
type world struct {
	record  *record
	book    *book
	dir     string
	program string
	// trouble says that the disruption of the case happens.
	trouble bool
	// subnet is the third byte of the instances' addresses.
	subnet    int
	store     *ibisrowstore.Store
	server    *ibisrowstore.Server
	storeAt   string
	instances []*instance
	backends  []*backend
}

var cases = map[string]func(w *world) error{
	"drill":       drill,
	"foreign":     foreign,
	"division":    division,
	"slow-reader": slowReader,
	"burst":       burst,
}

// TestMain plays one case in place of the tests.
func TestMain(*testing.M) {
	name := flag.String("case", "", "name of the case")
	program := flag.String("relay", "", "path of the relay")
	output := flag.String("record", "record.txt", "file that tells what was sent, answered and run")
	logs := flag.String("logs", "", "folder to keep the relays' logs in, none if empty")
	trouble := flag.Bool("trouble", true, "whether the disruption happens")
	flag.Parse()
	os.Exit(play(*name, *program, *output, *logs, *trouble))
}

func play(name, program, output, logs string, trouble bool) int {
	r, err := newRecord(output)
	if err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
		return exitNotRun
	}
	run, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "error: no such case:", name)
		return exitNotRun
	}
	program, err = filepath.Abs(program)
	if err == nil && logs == "" {
		logs, err = os.MkdirTemp("", "rig")
		defer func() { _ = os.RemoveAll(logs) }()
	}
	w := &world{
		record:  r,
		book:    newBook(),
		dir:     logs,
		program: program,
		trouble: trouble,
		subnet:  1 + os.Getpid()%250,
	}
	if err == nil {
		err = w.startStore()
	}
	if err == nil {
		err = run(w)
	}
	w.end()
	if err != nil {
		r.add("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitNotRun
	}
	if n := r.violations(); n > 0 {
		r.add("result: the rule was broken, %d times", n)
		fmt.Println("broken:", n)
		return exitBroken
	}
	r.add("result: the rule held")
	fmt.Println("held")
	return exitHeld
}

// startStore starts the store's stand-in in this process.
func (w *world) startStore() error {
	listener, err := net.Listen("tcp4", fmt.Sprintf("127.0.%d.200:0", w.subnet))
	if err != nil {
		return err
	}
	w.storeAt = listener.Addr().String()
	w.store = ibisrowstore.New()
	w.server = ibisrowstore.NewServer(w.store, 1)
	go func() { _ = http.Serve(listener, w.server) }()
	return nil
}

// addInstance writes the settings of an instance and starts neither its relay nor its backend server.
func (w *world) addInstance(p place) (*instance, error) {
	p.ip = fmt.Sprintf("127.0.%d.%d", w.subnet, len(w.instances)+1)
	i, err := newInstance(p, w.storeAt, w.program, w.dir, w.record)
	if err == nil {
		w.instances = append(w.instances, i)
	}
	return i, err
}

// addBackend starts the backend server of an instance.
func (w *world) addBackend(i *instance, config backendConfig) (*backend, error) {
	b, err := startBackend(config, i.backend, i.control, w.record, w.book)
	if err == nil {
		w.backends = append(w.backends, b)
	}
	return b, err
}

// end ends all processes.
func (w *world) end() {
	for _, i := range w.instances {
		i.kill()
	}
	for _, b := range w.backends {
		b.end()
		_ = b.server.Close()
	}
}
