package relay

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"waxwingwall"
	"waxwingwall/io/quota"
)

// headRefusal is the answer to a request whose head has no room.
var headRefusal = refusalOf(busyProblem("no memory for the head"))

// busyProblem returns the answer to a request for which there is no memory.
func busyProblem(message string) *waxwingwall.Problem {
	return &waxwingwall.Problem{
		Status:     http.StatusServiceUnavailable,
		Code:       "busy",
		Message:    message,
		Outcome:    waxwingwall.NotRun,
		RetryAfter: busyRetryAfter,
	}
}

// refusalOf returns the bytes of an answer that closes its connection.
func refusalOf(p *waxwingwall.Problem) []byte {
	body, err := json.Marshal(p)
	if err != nil {
		panic(err)
	}
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\nRetry-After: %.3f\r\nConnection: close\r\n\r\n%s",
		p.Status, http.StatusText(p.Status), len(body), p.RetryAfter.Seconds(), body)
}

// readRequest parses the header of the request and reads its body.
func (p *proxyRequest) readRequest(limits waxwingwall.CallerLimits) *waxwingwall.Problem {
	p.limitBodyTime(limits)
	p.target = originForm(p.r)
	path, _, _ := strings.Cut(p.target, "?")
	var err error
	p.call, err = p.relay.codec.ParseCall(p.r.Host, path, p.r.Header)
	if err != nil {
		return problem(http.StatusBadRequest, "bad_request", err.Error())
	}
	p.relay.logFirstRequest(p)
	if limits.HeaderBytes > 0 && headerBytes(p.r) > limits.HeaderBytes {
		return problem(http.StatusRequestHeaderFieldsTooLarge, "header_too_large", "the head is over the limit")
	}
	if limits.BodyBytes > 0 && p.r.ContentLength > limits.BodyBytes {
		return problem(http.StatusRequestEntityTooLarge, "body_too_large", "the body is over the limit")
	}
	if problem := p.relay.link.accept(p.r.ContentLength); problem != nil {
		return problem
	}
	return p.readBody(limits)
}

// originForm returns the path and query of a request as the caller sent them. A target with a
// scheme and a host has them after these.
func originForm(r *http.Request) string {
	if r.URL.Scheme == "" {
		return r.RequestURI
	}
	target := r.RequestURI[len(r.URL.Scheme)+len(":"):]
	if rest, ok := strings.CutPrefix(target, "//"); ok {
		target = strings.TrimLeftFunc(rest, func(c rune) bool { return c != '/' && c != '?' })
	}
	if target == "" || target[0] == '?' {
		return "/" + target
	}
	return target
}

// limitBodyTime limits the time to receive the body. It applies to requests that are refused
// by their head as well, as the server reads some of the body before it sends the answer.
func (p *proxyRequest) limitBodyTime(limits waxwingwall.CallerLimits) {
	if limits.HeaderTime <= 0 || p.r.ContentLength == 0 {
		return
	}
	if err := http.NewResponseController(p.w).SetReadDeadline(p.arrived.Add(limits.HeaderTime)); err != nil {
		p.relay.log.WithError(err).Warning("no_read_deadline")
	}
}

// readBody reads the body within the limits and sets the fingerprint.
func (p *proxyRequest) readBody(limits waxwingwall.CallerLimits) *waxwingwall.Problem {
	if p.r.ContentLength == 0 {
		p.fingerprint()
		return nil
	}
	body, err := p.received.ReadAll(p.r.Body, maxBody(p.r.ContentLength, limits))
	switch {
	case errors.Is(err, quota.ErrFull):
		p.w.Header().Set("Connection", "close")
		return busyProblem("no memory for the body")
	case err != nil && errors.Is(err, context.Canceled):
		panic(http.ErrAbortHandler)
	case isTimeout(err):
		p.w.Header().Set("Connection", "close")
		return problem(http.StatusRequestTimeout, "body_too_slow", "the body did not arrive in time")
	case err != nil:
		return problem(http.StatusBadRequest, "bad_body", "the body could not be read")
	case limits.BodyBytes > 0 && int64(len(body)) > limits.BodyBytes:
		return problem(http.StatusRequestEntityTooLarge, "body_too_large", "the body is over the limit")
	}
	if err := http.NewResponseController(p.w).SetReadDeadline(time.Time{}); err != nil {
		p.relay.log.WithError(err).Warning("no_read_deadline")
	}
	p.body = body
	if p.r.ContentLength < 0 {
		p.relay.link.add(len(body))
	}
	p.fingerprint()
	return nil
}

// maxBody returns how many bytes of a body are read at most: its length, or one byte more than
// is allowed.
func maxBody(length int64, limits waxwingwall.CallerLimits) int64 {
	switch {
	case length >= 0:
		return length
	case limits.BodyBytes > 0:
		return limits.BodyBytes + 1
	}
	return math.MaxInt64
}

// isTimeout reports whether err is a timeout.
func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

// fingerprint sets the hash that identifies repetitions of the request.
func (p *proxyRequest) fingerprint() {
	h := xxhash.New()
	for _, s := range []string{p.r.Method, p.target, p.call.Key} {
		_, _ = h.WriteString(s) // A hash never fails.
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(p.body)
	p.call.Fingerprint = h.Sum64()
}

// headerBytes returns the size of a request's header, including the request line.
func headerBytes(r *http.Request) int64 {
	n := int64(len(r.Method) + len(r.RequestURI) + len(r.Host) + len("  HTTP/1.1\r\nHost: \r\n\r\n"))
	for name, values := range r.Header {
		for _, v := range values {
			n += int64(len(name) + len(v) + len(": \r\n"))
		}
	}
	return n
}

// problem returns the answer to an invalid request.
func problem(status int, code, message string) *waxwingwall.Problem {
	return &waxwingwall.Problem{
		Status:  status,
		Code:    code,
		Message: message,
		Outcome: waxwingwall.NotRun,
	}
}
