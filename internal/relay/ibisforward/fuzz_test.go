package ibisforward

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

func FuzzOrder(f *testing.F) {
	f.Add(`{"id":"r1","service":"floor","class":"print","key":9,"targetMs":400,"leftMs":1000}`)
	f.Add(`{"key":-7,"leftMs":9223372036854775807}`)
	f.Fuzz(func(t *testing.T, text string) {
		r := httptest.NewRequest(http.MethodGet, "/a", nil)
		r.Header[headerOrder] = []string{text}
		now := time.Unix(1_000_000, 0)
		order, err := decodeOrder(r, now)
		if err != nil {
			return
		}
		r.Header = encodeOrder(order, now)
		again, err := decodeOrder(r, now)
		if err != nil || again.ID != order.ID || again.Service != order.Service || again.Key != order.Key {
			t.Errorf("order %+v came back as %+v (%v)", order, again, err)
		}
	})
}

func FuzzAnswer(f *testing.F) {
	f.Add(`{"outcome":"notRun","reason":"busy","retryAfterMs":700,"load":0.5}`)
	f.Add(`{"outcome":"done","load":-1e38,"retryAfterMs":-9223372036854775808}`)
	f.Add(`{}`)
	f.Fuzz(func(t *testing.T, text string) {
		answer, err := decodeAnswer(text)
		if err != nil {
			return
		}
		again, err := decodeAnswer(encodeAnswer(answer))
		if err != nil || again.Outcome != answer.Outcome || again.Owner != answer.Owner {
			t.Errorf("answer %+v came back as %+v (%v)", answer, again, err)
		}
		switch answer.Outcome {
		case ibisid.OutcomeDone, ibisid.OutcomeNotRun, ibisid.OutcomeUnknown:
		default:
			t.Errorf("outcome %q was accepted", answer.Outcome)
		}
	})
}
