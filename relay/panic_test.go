package relay

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"waxwingwall"
)

// faultyCodec panics while it parses the header of a request.
type faultyCodec struct {
	waxwingwall.HeaderCodec
}

func (faultyCodec) ParseCall(string, string, http.Header) (waxwingwall.Call, error) {
	panic("odd header")
}

// TestHandlerPanicIsLogged guards against a request that ends without an answer and without
// a line in the log.
func TestHandlerPanicIsLogged(t *testing.T) {
	f := newFleet(t, 1, testAccount)
	n := f.relays[0]
	codec := n.codec
	n.codec = faultyCodec{
		HeaderCodec: codec,
	}
	if a := f.call(n, "quote", "", 0, 0); a.err == nil {
		t.Errorf("answered: %+v", a)
	}
	f.waitUntil("the panic is logged", func() bool {
		return strings.Contains(n.log.String(), "handler_panicked") && strings.Contains(n.log.String(), "odd header")
	})
	n.codec = codec
	f.waitUntil("the router serves on", func() bool {
		time.Sleep(10 * time.Millisecond)
		return f.call(n, "quote", "", 0, 0).status == http.StatusOK
	})
}
