package rig

import "time"

const archiveConfig = `{"version":"00000001","limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000},` +
	`"listeners":[{"host":"archive.example","ruleSet":[{"name":"archive-pull","kind":"download","targetLatencyMs":600,"priority":2,` +
	`"match":{"prefix":"/pull/"},"action":{"service":"archive","timeoutMs":4000,"maxAttempts":2,"allowedRegions":[]}}]}],` +
	`"clusters":[{"name":"archive","healthPath":"/health","maxConnections":410,"coldStartS":0,"coldPerS":0}]}`

// allowedCuts is the number of requests that may be passed on and left without an answer.
const allowedCuts = 3

// startArchive starts two instances of a service that is not divided by key, each in a zone of its own; body is the length of an answer.
func (w *world) startArchive(body int) error {
	w.store.Put("op", "", "config", []byte(archiveConfig))
	for _, name := range []string{"a", "b"} {
		i, err := w.addInstance(place{
			name:      name,
			zone:      "zone-" + name,
			region:    "central",
			service:   "archive",
			heartbeat: 870 * time.Millisecond,
		})
		if err != nil {
			return err
		}
		if err := i.start(); err != nil {
			return err
		}
		if _, err := w.addBackend(i, backendConfig{
			id:        "i-" + name,
			service:   "archive",
			zone:      "zone-" + name,
			slots:     12,
			heartbeat: 870 * time.Millisecond,
			work:      50 * time.Millisecond,
			body:      body,
		}); err != nil {
			return err
		}
	}
	if err := await("both relays are ready", 10*time.Second, func() bool { return w.instances[0].ready() && w.instances[1].ready() }); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	return nil
}
