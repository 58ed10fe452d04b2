package config

import (
	"bytes"
	"compress/flate"
	"io"
	"strings"
)

// packed is the compressed text of a part. A router stores it to serve peers;
// uncompressed, the text of a large document takes several times the memory.
type packed struct {
	// data is the compressed text.
	data []byte

	// size is the length of the uncompressed text, in bytes.
	size int
}

// pack compresses a text. Writes to memory can't fail.
func pack(text string) packed {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		panic(err)
	}
	if _, err := io.WriteString(w, text); err != nil {
		panic(err)
	}
	if err := w.Close(); err != nil {
		panic(err)
	}
	return packed{
		data: bytes.Clone(b.Bytes()),
		size: len(text),
	}
}

// text returns the uncompressed text.
func (p packed) text() string {
	var b strings.Builder
	b.Grow(p.size)
	if _, err := io.Copy(&b, flate.NewReader(bytes.NewReader(p.data))); err != nil {
		panic(err)
	}
	return b.String()
}
