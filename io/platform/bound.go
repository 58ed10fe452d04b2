package platform

import (
	"errors"
	"io"
	"net/http"

	"waxwingwall/io/quota"
)

const (
	// maxHeadBytes limits the head of an answer, maxAnswerBytes its body. maxReadBytes limits
	// the bodies that are being read together.
	maxHeadBytes   = 64 << 10
	maxAnswerBytes = 16 << 20
	maxReadBytes   = 32 << 20
)

// errTooLong means that an answer is longer than maxAnswerBytes.
var errTooLong = errors.New("the answer is too long")

// boundedTransport bounds the bodies of answers. One that is not within its bounds fails to be
// read.
type boundedTransport struct {
	http.RoundTripper
	reading *quota.Quota
}

// RoundTrip implements http.RoundTripper.
func (t *boundedTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	res, err := t.RoundTripper.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	holding, done := t.reading.Open()
	res.Body = &boundedBody{
		ReadCloser: res.Body,
		holding:    holding,
		done:       done,
	}
	return res, nil
}

// boundedBody is a body within bounds. Its reader keeps all of it.
type boundedBody struct {
	io.ReadCloser
	holding *quota.Holding
	done    func()

	// size is the number of bytes so far. err is set for good once the body was not within
	// its bounds.
	size int
	err  error
}

// Read implements io.Reader.
func (b *boundedBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.ReadCloser.Read(p)
	b.size += n
	switch {
	case b.size > maxAnswerBytes:
		b.err = errTooLong
	case !b.holding.Set(b.size):
		b.err = quota.ErrFull
	default:
		return n, err
	}
	return 0, b.err
}

// Close implements io.Closer. It does not wait for the rest of a body.
func (b *boundedBody) Close() error {
	b.done()
	return b.ReadCloser.Close()
}
