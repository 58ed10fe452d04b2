package sim

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"waxwingwall"
)

// FaultKind is a kind of fault.
type FaultKind string

// The kinds of faults.
const (
	// Outage answers every request with 503 without running it.
	Outage FaultKind = "outage"

	// Slow delays every request by DelayMS. On an engine it also multiplies the
	// prefill time and the time between tokens by Factor.
	Slow FaultKind = "slow"

	// Lose drops the next Count answers, or each answer with Probability, after the
	// request took effect. Reads are not affected.
	Lose FaultKind = "lose"

	// Freeze suspends the target until Heal; its connections stay open.
	Freeze FaultKind = "freeze"

	// Silence stops all output on the currently open connections, permanently.
	Silence FaultKind = "silence"

	// Crash resets all connections of the target, which listens again after DelayMS,
	// or, if it is an engine, after its Restart time.
	Crash FaultKind = "crash"

	// Cross makes an engine send Count chunks with the ID of another attempt.
	Cross FaultKind = "cross"

	// Heal ends all faults of the target. Silent connections stay silent.
	Heal FaultKind = "heal"
)

// Fault is the body of a fault injection call.
type Fault struct {
	// Target is "platform", or the name of an engine or a service.
	Target string `json:"target"`

	// Kind selects the fault; the fields below are its parameters.
	Kind FaultKind `json:"kind"`

	// Count is used by Lose and Cross.
	Count int `json:"count"`

	// Probability is used by Lose, from 0 to 1.
	Probability float64 `json:"probability"`

	// Factor is used by Slow on an engine.
	Factor float64 `json:"factor"`

	// DelayMS is used by Slow and Crash, in milliseconds.
	DelayMS int `json:"delay_ms"`
}

// Inject applies a fault.
func (w *World) Inject(f Fault) error {
	s, e := w.target(f.Target)
	if s == nil {
		return trace.NotFound("no target %q", f.Target)
	}
	delay := time.Duration(f.DelayMS) * time.Millisecond
	switch f.Kind {
	case Freeze:
		s.freeze()
	case Silence:
		s.silence()
	case Outage, Slow, Lose:
		s.setFault(f, delay)
	case Crash:
		if e != nil {
			e.Crash()
			return nil
		}
		s.crash(delay)
	case Cross:
	case Heal:
		s.thaw()
		s.setFault(f, 0)
	default:
		return trace.BadParameter("unknown fault %q", f.Kind)
	}
	if e != nil {
		e.setFault(f)
	}
	return nil
}

func (s *faultServer) setFault(f Fault, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch f.Kind {
	case Outage:
		s.outage = true
	case Slow:
		s.delay = delay
	case Lose:
		s.dropCount = f.Count
		s.dropRate = f.Probability
	default:
		s.outage = false
		s.delay = 0
		s.dropCount = 0
		s.dropRate = 0
	}
}

func (e *Engine) setFault(f Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch f.Kind {
	case Slow:
		e.slowdown = max(1, f.Factor)
	case Cross:
		e.foreignChunks = f.Count
	case Heal:
		e.slowdown = 1
		e.foreignChunks = 0
	}
}

func (w *World) target(name string) (*faultServer, *Engine) {
	if name == "platform" {
		return w.Platform.server, nil
	}
	for _, e := range w.Engines {
		if e.Name == name {
			return e.server, e
		}
	}
	for _, s := range w.Services {
		if s.Name == name {
			return s.server, nil
		}
	}
	return nil, nil
}

// Listener describes one server of a World.
type Listener struct {
	Name    string         `json:"name"`
	Kind    string         `json:"kind"`
	Address netip.AddrPort `json:"address"`
}

// Listeners lists all servers with their addresses.
func (w *World) Listeners() []Listener {
	listeners := []Listener{{
		Name:    "platform",
		Kind:    "platform",
		Address: w.Platform.Address(),
	}, {
		Name:    "admin",
		Kind:    "admin",
		Address: w.admin.address(),
	}}
	for _, e := range w.Engines {
		listeners = append(listeners, Listener{
			Name:    e.Name,
			Kind:    "engine",
			Address: e.ListenAddress(),
		})
	}
	for _, s := range w.Services {
		listeners = append(listeners, Listener{
			Name:    s.Name,
			Kind:    "service",
			Address: s.ListenAddress(),
		})
	}
	return listeners
}

// MemberChange is the body of a change to the member list.
type MemberChange struct {
	waxwingwall.Member

	// Gone removes the VM from the list.
	Gone bool `json:"gone"`
}

// adminHandler serves fault injection, the audit, the list of servers and changes
// to the member list.
func (w *World) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /admin/audit", func(rw http.ResponseWriter, _ *http.Request) {
		writeJSON(rw, w.Audit.Report())
	})
	mux.HandleFunc("GET /admin/places", func(rw http.ResponseWriter, _ *http.Request) {
		writeJSON(rw, w.Listeners())
	})
	mux.HandleFunc("POST /admin/fault", func(rw http.ResponseWriter, r *http.Request) {
		var f Fault
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			writeError(rw, http.StatusBadRequest, err.Error())
			return
		}
		if err := w.Inject(f); err != nil {
			writeError(rw, trace.ErrorToCode(err), err.Error())
			return
		}
		writeJSON(rw, f)
	})
	mux.HandleFunc("POST /admin/members", func(rw http.ResponseWriter, r *http.Request) {
		var c MemberChange
		if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
			writeError(rw, http.StatusBadRequest, err.Error())
			return
		}
		if c.Gone {
			w.Platform.RemoveMember(c.VM)
		} else {
			w.Platform.SetMember(c.Member)
		}
		writeJSON(rw, c)
	})
	return mux
}
