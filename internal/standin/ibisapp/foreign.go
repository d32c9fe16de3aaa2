package ibisapp

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// defect is what is odd about a heartbeat that another writer sends under the id of a server.
type defect struct {
	name  string
	apply func(body map[string]any)
}

// part returns a part of a heartbeat's body.
func part(body map[string]any, name string) map[string]any { return body[name].(map[string]any) }

// without returns the defect that a field is missing; an empty parent stands for the body itself.
func without(parent, field string) defect {
	return defect{
		name: "no " + field,
		apply: func(body map[string]any) {
			if parent != "" {
				body = part(body, parent)
			}
			delete(body, field)
		},
	}
}

// with returns the defect that a field of a part has an odd value.
func with(parent, field string, value any) defect {
	return defect{
		name:  fmt.Sprintf("%s %v", field, value),
		apply: func(body map[string]any) { part(body, parent)[field] = value },
	}
}

// defects returns all defects of the heartbeats of a server; only one that is granted keys by heartbeat lists them.
func (s *Server) defects() []defect {
	all := []defect{
		without("", "address"),
		without("", "born"),
		without("info", "service"),
		without("info", "slots"),
		without("status", "state"),
		without("status", "seq"),
		without("status", "coldLeftMs"),
		with("info", "service", "qx"),
		with("info", "slots", "many"),
		with("status", "state", "asleep"),
		with("status", "seq", -1),
		with("status", "coldLeftMs", "long"),
	}
	if s.config.Sharded && !s.config.ByCall {
		all = append(all, without("", "holds"), without("", "freed"))
	}
	return all
}

// SendForeignHeartbeat sends a heartbeat of another writer for the server's address to its node: one with a defect, under the server's
// id or another one, or a whole one of another server that started at the same time or earlier. It returns what was sent. It fails if
// the node doesn't answer.
func (s *Server) SendForeignHeartbeat(random *rand.Rand) (string, error) {
	s.mu.Lock()
	body, seq := s.heartbeatBody(), s.seq
	s.mu.Unlock()
	// Sound heartbeats go on meanwhile; a greater number makes this one the newest.
	part(body, "status")["seq"] = seq + uint64(random.IntN(100))
	if random.IntN(2) == 0 {
		part(body, "status")["state"] = "draining"
	}
	if !s.config.ByCall {
		body["holds"], body["freed"] = [][3]any{}, [][3]any{}
	}
	id, what := s.config.ID, "whole"
	if random.IntN(3) == 0 {
		id = "foreign-" + strconv.Itoa(random.IntN(3))
		body["born"] = s.born - int64(random.IntN(2)*random.IntN(10_000))
	} else {
		defects := s.defects()
		odd := defects[random.IntN(len(defects))]
		if random.IntN(2) == 0 {
			id = "foreign-" + strconv.Itoa(random.IntN(3))
			body["born"] = time.Now().UnixMilli()
		}
		odd.apply(body)
		what = odd.name
	}
	text, err := json.Marshal(body)
	if err != nil {
		return "", err
	}
	request, err := http.NewRequest(http.MethodPut, "http://"+s.config.Control+"/-/instances/"+id, bytes.NewReader(text))
	if err != nil {
		return "", err
	}
	client := http.Client{
		Timeout: ackTimeout,
	}
	response, err := client.Do(request)
	if err != nil {
		return "", err
	}
	_ = response.Body.Close()
	return fmt.Sprintf("%s, under %s, answered %d", what, id, response.StatusCode), nil
}
