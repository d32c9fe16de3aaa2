package ibiscli_test

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/ibisridge/ibisridge/internal/program/ibiscli"
)

const explainLog = `prefix of a collector {"level":"info","time":"2026-06-22T17:38:10.000Z","message":"failure domain","node":"n1","domain":"kandy-a","out":true}
{"level":"info","time":"2026-06-22T17:38:11.000Z","message":"request has no answer","node":"n1","request":"r1","class":"print","service":"floor","key":7,"target":"400ms","age":"600ms","config":3,"asked":["n2@10.0.0.2 keyElsewhere after 43 ms","n3@10.0.0.3 keyMoving after 44 ms"],"outcome":"notRun","held":"88ms","reason":"keyMoving","retryAfter":"900ms"}
{"level":"info","time":"2026-06-22T17:38:10.900Z","message":"request was answered","node":"n3","request":"r1.c1","class":"stock","service":"floor","key":9,"config":3,"asked":["n3@10.0.0.3 done after 20 ms"],"outcome":"done","held":"20ms","status":200}
{"level":"info","time":"2026-06-22T17:38:10.500Z","message":"commit of ownership","node":"n2","purpose":"handover"}
{"level":"info","time":"2026-06-22T17:38:10.500Z","message":"commit of ownership","node":"n9","purpose":"renew"}
not json
`

func TestExplain(t *testing.T) {
	var out, problems bytes.Buffer
	code := ibiscli.Run(context.Background(), []string{"explain", "r1"}, ibiscli.Terminal{
		In:  strings.NewReader(explainLog),
		Out: &out,
		Err: &problems,
	})
	if code != ibiscli.ExitOK {
		t.Fatalf("code %d: %s", code, problems.String())
	}
	for _, want := range []string{
		"had been trying for 600ms already", "try 1: n2@10.0.0.2 keyElsewhere", "it has not run; the key was on its way",
		"told to come back after 900ms", "call made by its run", "answered 200", "failure domain", "handover",
	} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is missing in:\n%s", want, out.String())
		}
	}
	if strings.Contains(out.String(), "renew") {
		t.Error("an event of a node that took no part is shown")
	}
}

func TestExplainUnknownRequest(t *testing.T) {
	var out, problems bytes.Buffer
	code := ibiscli.Run(context.Background(), []string{"explain", "r2"}, ibiscli.Terminal{
		In:  strings.NewReader(explainLog),
		Out: &out,
		Err: &problems,
	})
	if code == ibiscli.ExitOK || !strings.Contains(problems.String(), `no line names request "r2"`) {
		t.Errorf("code %d: %s", code, problems.String())
	}
}
