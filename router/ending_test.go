package router

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingwall"
	"waxwingwall/core"
)

// TestEndingIsLogged guards against an answer that ended with its connection and whose lines don't tell
// by what the end was confirmed.
func TestEndingIsLogged(t *testing.T) {
	var out bytes.Buffer
	logger := logrus.New()
	logger.SetOutput(&out)
	logger.SetFormatter(&logrus.JSONFormatter{})
	a := &attempt{
		id: "router.key.1",
		router: &Router{
			log: logrus.NewEntry(logger),
		},
		start: core.StartAttempt{
			Endpoint: "orders-1",
		},
	}
	a.logEnding(waxwingwall.Ending{
		Confirmed:   waxwingwall.ConfirmedByCompanion,
		Asked:       1,
		Status:      404,
		Took:        time.Second,
		Accompanied: true,
	})
	line := map[string]any{}
	if err := json.Unmarshal(out.Bytes(), &line); err != nil {
		t.Fatal(err)
	}
	for field, want := range map[string]any{
		"msg": "connection_ended", "attempt": "router.key.1", "endpoint": "orders-1", "confirmed": "companion",
		"asked": 1.0, "status": 404.0, "took": float64(time.Second), "accompanied": true,
	} {
		if line[field] != want {
			t.Errorf("%s: %v, want %v", field, line[field], want)
		}
	}
}
