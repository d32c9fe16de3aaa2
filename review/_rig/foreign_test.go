package rig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"
)

const (
	foreignHeartbeat = 1500 * time.Millisecond
	// foreignPause is how long the platform takes to start the stopped relay again.
	foreignPause = 500 * time.Millisecond
	// foreignRetry is how long the other writer waits after a ping that reached nobody.
	foreignRetry = 20 * time.Millisecond
	// foreignObserved is how long the backend servers are watched after the restart.
	foreignObserved = 12 * time.Second
)

// foreign stops and starts one of three relays, as planned. The first ping that the new process hears comes from another writer.
func foreign(w *world) error {
	w.store.Put("op", "", "config", []byte(strings.ReplaceAll(drillConfig, `"grants":"call"`, `"grants":"heartbeat"`)))
	for _, zone := range []string{"a", "b", "c"} {
		if err := w.addEqualInstance(zone+"1", "zone-"+zone, foreignHeartbeat); err != nil {
			return err
		}
	}
	if err := await("each backend server holds keys", 30*time.Second, func() bool {
		for _, b := range w.backends {
			if w.book.keysOf(b.config.id) == 0 {
				return false
			}
		}
		return w.keysHeld() == allKeys
	}); err != nil {
		return err
	}
	w.record.add("all keys are held, by each of the three")
	time.Sleep(2 * foreignHeartbeat)
	writerBorn := time.Now().UnixMilli()
	restarted := w.instances[1]
	restarted.signal(syscall.SIGTERM)
	<-restarted.exited
	time.Sleep(foreignPause)
	if err := restarted.start(); err != nil {
		return err
	}
	if w.trouble {
		if err := w.pingAsOther(restarted, writerBorn); err != nil {
			return err
		}
	}
	time.Sleep(foreignObserved)
	w.book.judgeOwners(w.record)
	for _, b := range w.backends {
		w.record.add("%s holds %d keys at the end", b.config.id, w.book.keysOf(b.config.id))
	}
	return nil
}

// pingAsOther sends one ping of another writer, without the version and the zone, as soon as the relay listens.
func (w *world) pingAsOther(i *instance, born int64) error {
	text, err := json.Marshal(map[string]any{
		"address": i.backend,
		"born":    born,
		"info":    map[string]any{"service": i.service, "slots": 12},
		"status":  map[string]any{"state": "draining", "seq": 1, "coldLeftMs": 0},
		"holds":   []int{},
		"freed":   []int{},
	})
	if err != nil {
		return err
	}
	client := http.Client{
		Timeout: ackTimeout,
	}
	for range 500 {
		request, err := http.NewRequest(http.MethodPut, "http://"+i.control+"/-/instances/probe-7", bytes.NewReader(text))
		if err != nil {
			return err
		}
		response, err := client.Do(request)
		if err != nil {
			time.Sleep(foreignRetry)
			continue
		}
		_ = response.Body.Close()
		w.record.add("another writer sends relay %s a ping as probe-7: %s, answered %d", i.name, text, response.StatusCode)
		return nil
	}
	return fmt.Errorf("relay %s doesn't listen", i.name)
}

// addEqualInstance starts an instance whose backend server is granted keys in the answers to its heartbeats.
func (w *world) addEqualInstance(name, zone string, heartbeat time.Duration) error {
	i, err := w.addInstance(place{
		name:      name,
		zone:      zone,
		region:    "central",
		service:   "floor",
		grants:    "heartbeat",
		heartbeat: heartbeat,
	})
	if err != nil {
		return err
	}
	if err := i.start(); err != nil {
		return err
	}
	_, err = w.addBackend(i, backendConfig{
		id:        "i-" + name,
		service:   "floor",
		zone:      zone,
		slots:     12,
		heartbeat: heartbeat,
		sharded:   true,
		work:      20 * time.Millisecond,
	})
	return err
}
