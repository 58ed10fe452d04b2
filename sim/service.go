package sim

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"time"

	"github.com/gravitational/trace"
)

// ServiceConfig configures a plain service.
type ServiceConfig struct {
	// Name identifies the endpoint in the audit and as the target of faults.
	Name string

	// Address is the listen address; a free loopback port if unset.
	Address netip.AddrPort

	// Duration is how long each call runs.
	Duration time.Duration
}

// Service is a stand-in for a plain service. It records every received call as a
// run, even if the answer is lost.
type Service struct {
	ServiceConfig
	server *faultServer
	audit  *Audit
}

// ServiceCall is the body of a call.
type ServiceCall struct {
	Body string `json:"body"`
}

// ServiceAnswer is the body of the answer to a call.
type ServiceAnswer struct {
	// ID is the X-Request-Id of the call.
	ID string `json:"id"`

	// Body is derived from the body of the call; see ServiceBody.
	Body string `json:"body"`
}

// ServiceBody returns the answer to a call with the given body.
func ServiceBody(body string) string {
	return "done " + promptDigest(body)
}

func newService(w *World, c ServiceConfig) (*Service, error) {
	s := &Service{
		ServiceConfig: c,
		audit:         w.Audit,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /call", s.call)
	var err error
	if s.server, err = w.listen(c.Name, c.Address, mux); err != nil {
		return nil, trace.Wrap(err)
	}
	return s, nil
}

// ListenAddress returns the address on which the service listens.
func (s *Service) ListenAddress() netip.AddrPort {
	return s.server.address()
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	var c ServiceCall
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&c); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	run := &Run{
		Attempt:  r.Header.Get(HeaderAttempt),
		Identity: r.Header.Get(HeaderIdentity),
		Endpoint: s.Name,
		Prompt:   promptDigest(c.Body),
	}
	s.audit.addCall(run)
	s.audit.setState(run, Begun)
	time.Sleep(s.Duration)
	s.audit.setState(run, Finished)
	writeJSON(w, ServiceAnswer{
		ID:   run.Attempt,
		Body: ServiceBody(c.Body),
	})
}
