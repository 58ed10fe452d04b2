package relay

import (
	"io"
	"log"

	"github.com/sirupsen/logrus"

	"waxwingwall/core/edge"
)

// quiet drops what net/http has to say of single connections.
var quiet = log.New(io.Discard, "", 0)

// note logs a decision.
func (r *Relay) note(n edge.Note) {
	fields := make(logrus.Fields, len(n.Fields)+1)
	for _, f := range n.Fields {
		fields[f.Name] = f.Value
	}
	if n.Request != "" {
		fields["request"] = n.Request
	}
	r.log.WithFields(fields).Info(n.Event)
}
