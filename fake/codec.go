package fake

import (
	"bytes"
	"encoding/gob"

	"waxwingwall/core"
)

// codec encodes and decodes messages as routers do, so that routers share no
// memory, and counts the bytes.
type codec struct {
	buf bytes.Buffer
	enc *gob.Encoder
	dec *gob.Decoder
}

// envelope allows gob to encode any registered type.
type envelope struct {
	Message any
}

func newCodec() *codec {
	for _, m := range core.Messages() {
		gob.Register(m)
	}
	c := &codec{}
	c.enc = gob.NewEncoder(&c.buf)
	c.dec = gob.NewDecoder(&c.buf)
	return c
}

func (c *codec) roundTrip(w *World, message any) any {
	if err := c.enc.Encode(envelope{Message: message}); err != nil {
		w.Fail("message %T: %v", message, err)
	}
	w.Counts.Messages++
	w.Counts.Bytes += c.buf.Len()
	var e envelope
	if err := c.dec.Decode(&e); err != nil {
		w.Fail("message %T: %v", message, err)
	}
	return e.Message
}
