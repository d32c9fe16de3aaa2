package ibisdispatch

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/ibisridge/ibisridge/internal/request/ibiscalls"
)

// Guards against calls that wait past the end of their run, and against urgent calls of less urgent runs that lose their rank.
func TestInherit(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1_000_000, 0)
	after := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	for name, c := range map[string]struct {
		own, want plan
		run       ibiscalls.Inheritance
	}{
		"the run is more urgent and ends before the call's limit": {
			own:  plan{priority: 3, target: after(200), deadline: after(600)},
			run:  ibiscalls.Inheritance{Rank: 1, Target: after(100), Deadline: after(400)},
			want: plan{priority: 1, target: after(200), deadline: after(400), call: true},
		},
		"the call is more urgent and its run in time for longer": {
			own:  plan{priority: 0, target: after(200), deadline: after(600)},
			run:  ibiscalls.Inheritance{Rank: 2, Target: after(900), Deadline: after(4000)},
			want: plan{priority: 0, target: after(600), deadline: after(600), call: true},
		},
	} {
		c.own.inherit(c.run)
		g.Expect(c.own).To(gomega.Equal(c.want), name)
	}
}
