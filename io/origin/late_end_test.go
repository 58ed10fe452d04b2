package origin

import (
	"net"
	"testing"
	"time"
)

// TestLateEndOfKilledProcess guards against a cut answer that looks whole because the successor of a
// killed process answers on a companion that was opened again: the last bytes and the end of the
// answer's connection arrive late, after a cut of their link, and one after the other.
func TestLateEndOfKilledProcess(t *testing.T) {
	for name, late := range map[string]time.Duration{
		"600 ms": 600 * time.Millisecond,
		"1 s":    time.Second,
		"4 s":    4 * time.Second,
	} {
		for way, via := range ways(t) {
			t.Run(name+", "+way, func(t *testing.T) {
				t.Parallel()
				killed := make(chan struct{})
				addr, _ := numberedEndpoint(t, func(n int32, c net.Conn) {
					switch {
					case n == 2:
						<-killed
					case receive(c) && n == 1:
						send(c, unframedHead+"b")
						close(killed)
						time.Sleep(100*time.Millisecond + late)
						send(c, "o")
						time.Sleep(20 * time.Millisecond)
						send(c, "d")
					case n > 2:
						send(c, unframedHead)
					}
				})
				p, stop := New()
				defer stop()
				r, answered := watchedRequest(p, addr)
				r.Via = via
				body, err := readBody(p, r)
				if body != "bod" || err == nil || answered.Load() {
					t.Errorf("%q, %v, answered %t", body, err, answered.Load())
				}
				waitForCompanions(t, p)
			})
		}
	}
}
