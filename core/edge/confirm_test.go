package edge

import (
	"fmt"
	"testing"
	"time"

	"waxwingwall/core/effect"
)

// reportTime is the time until a report arrives.
const reportTime = 4 * time.Millisecond

// answerReports makes the endpoints report which instances they are, and counts the
// questions.
func (m *versionModel) answerReports() *int {
	asked := new(int)
	perform := m.limitModel.perform
	m.limitModel.perform = func(i, life int, a effect.Action) bool {
		ask, ok := a.(AskInstance)
		if !ok {
			return perform(i, life, a)
		}
		*asked++
		m.after(reportTime, func() {
			answer := InstanceReported{
				Endpoint: ask.Endpoint,
				Born:     ask.Born,
			}
			if e := m.byAddr[ask.Address]; e.up {
				answer.Reported = int64(e.life) + 1
			}
			m.feedLife(i, life, answer)
		})
		return true
	}
	return asked
}

// TestVersionBeforeNewEntry guards against streams that go on at another version because an
// endpoint was restarted under its ID long before its entry changes, and against streams
// that are given up once the entry has changed.
func TestVersionBeforeNewEntry(t *testing.T) {
	t.Parallel()
	for _, version := range []string{"v1", "v2"} {
		t.Run(fmt.Sprintf("restarts with %s", version), func(t *testing.T) {
			t.Parallel()
			m := newVersionModel(t, 21, 8)
			asked := m.answerReports()
			v1 := m.start("model", "v1", 3)
			m.start("model", "v2", 3)
			m.run(3 * time.Second)
			m.breakRate = 0.05
			m.leaveRate = 0.05
			m.streamLoad("advice", 60, 10*time.Second)
			for _, e := range v1[:2] {
				m.run(2 * time.Second)
				m.restartEngine(e, version, 900*time.Millisecond)
			}
			m.run(10 * time.Second)
			m.check()
			whole := m.whole()
			t.Logf("%d of %d whole, %d reports", whole, len(m.streams), *asked)
			if n, _ := m.mixed(); n > 0 {
				t.Errorf("%d of %d streams hold events of two versions", n, len(m.streams))
			}
			if m.wentOn.all < minTakenUp || *asked == 0 {
				t.Errorf("taken up: %+v, %d reports", m.wentOn, *asked)
			}
		})
	}
}
