package http1

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"

	"github.com/gravitational/trace"
)

// Dial makes connections, as in http.Transport.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Checked returns a function that makes connections whose heads are checked.
func (d Dial) Checked() Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
}

// Transport is an http.RoundTripper that returns final answers only, over one whose connections are of
// type Conn or embed it. Below TLS there is no head to check: there only the number of a status is.
type Transport struct {
	http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	res, err := t.RoundTripper.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotConn: begin,
	})))
	if err != nil {
		return nil, err
	}
	if !IsFinal(res.StatusCode) {
		_ = res.Body.Close()
		return nil, trace.Wrap(ErrStatus, "status %d", res.StatusCode)
	}
	return res, nil
}

// CloseIdleConnections closes the idle connections, as http.Client.CloseIdleConnections asks for.
func (t *Transport) CloseIdleConnections() {
	if idle, ok := t.RoundTripper.(interface{ CloseIdleConnections() }); ok {
		idle.CloseIdleConnections()
	}
}

// begin begins a request at its connection.
func begin(info httptrace.GotConnInfo) {
	if c, ok := info.Conn.(interface{ Begin() }); ok {
		c.Begin()
	}
}
