package settings

import "testing"

// FuzzParseEdge guards against settings files that can't be read: each is refused with an
// error, or gives settings that are within their limits.
func FuzzParseEdge(f *testing.F) {
	f.Add([]byte("[router]\nvm = a\ndomain = d\n[listen]\ncallers = 10.0.0.1:1\n[limits]\nmemory_mb = 1e9\n"))
	f.Add([]byte("[[[\n= = =\n\x00"))
	f.Add([]byte("[bounds]\ngrace = -5s\nretry_ratio = NaN\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		if s, err := ParseEdge("fuzz", text); err == nil && (s.Grace <= 0 || s.MemoryBytes < 0 || !(s.RetryRatio >= 0)) {
			t.Errorf("accepted %+v", s)
		}
	})
}
