package queue

import (
	"testing"
	"time"
)

// TestLateBesideRoom: a large request waits for memory while small ones could go. It is refused
// when its turn would be too late, and isn't kept for as long as there is room for others.
func TestLateBesideRoom(t *testing.T) {
	now := time.Unix(1000, 0)
	q := New()
	room := Room{
		Requests: 4,
		Fit:      10,
		Largest:  100,
		Rate:     100,
	}
	q.RoomChanged(room)
	v := q.Offer(now, Request{
		ID:     1,
		Tokens: 50,
		Latest: now.Add(time.Second),
	})
	if v.Decision != Wait {
		t.Fatalf("%+v", v)
	}
	for range 3 {
		now = now.Add(600 * time.Millisecond)
		q.RoomChanged(room)
		for _, a := range q.Step(now) {
			if a.ID != 1 || a.RetryAfter <= 0 {
				t.Fatalf("%+v", a)
			}
		}
	}
	if q.Len() > 0 {
		t.Error("still waits")
	}
}
