package sim

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"waxwingwall"
	"waxwingwall/api/platformapi"
)

// defaultListLimit is the maximum number of rows in the answer to a ListRows call
// without a limit.
const defaultListLimit = 1000

// Platform is the stand-in for the platform's services. It implements
// platformapi.Handler.
type Platform struct {
	server    *faultServer
	audit     *Audit
	memberLag time.Duration

	mu          sync.Mutex
	lastVersion int64 // last version assigned, over all rows
	rows        map[string]platformapi.Row
	objects     map[string][]byte
	changes     []memberChange // in chronological order
}

// memberChange is a change to the member list that takes effect at a later time.
type memberChange struct {
	at      time.Time
	removed bool
	member  waxwingwall.Member
}

func newPlatform(w *World) (*Platform, error) {
	p := &Platform{
		audit:     w.Audit,
		memberLag: w.memberLag,
		rows:      map[string]platformapi.Row{},
		objects:   map[string][]byte{},
	}
	for _, m := range w.members {
		p.changes = append(p.changes, memberChange{member: m})
	}
	h, err := platformapi.NewServer(p)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if p.server, err = w.listen("platform", w.platformAddr, h); err != nil {
		return nil, trace.Wrap(err)
	}
	return p, nil
}

// URL returns the base URL of the platform.
func (p *Platform) URL() string {
	return p.server.url()
}

// SetMember adds or replaces a VM; the change is listed after the member lag.
func (p *Platform) SetMember(m waxwingwall.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.changes = append(p.changes, memberChange{
		at:     time.Now().Add(p.memberLag),
		member: m,
	})
}

// RemoveMember removes a VM; the change is listed after the member lag.
func (p *Platform) RemoveMember(vm waxwingwall.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.changes = append(p.changes, memberChange{
		at:      time.Now().Add(p.memberLag),
		removed: true,
		member: waxwingwall.Member{
			VM: vm,
		},
	})
}

// Transact implements platformapi.Handler.
func (p *Platform) Transact(_ context.Context, req *platformapi.Transaction) (platformapi.TransactRes, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if rows := p.conflicts(req.Writes); len(rows) > 0 {
		p.audit.update(func(r *Report) { r.TableConflicts++ })
		return &platformapi.Conflict{
			Rows: rows,
		}, nil
	}
	versions := make([]int64, 0, len(req.Writes))
	for _, w := range req.Writes {
		versions = append(versions, p.write(w))
	}
	p.audit.update(func(r *Report) { r.TableWrites++ })
	return &platformapi.Committed{
		Versions: versions,
	}, nil
}

// conflicts returns the current rows of the writes whose expected version doesn't
// match.
func (p *Platform) conflicts(writes []platformapi.Write) []platformapi.Row {
	var rows []platformapi.Row
	for _, w := range writes {
		if w.Expect.Set && w.Expect.Value != p.rows[w.Key].Version {
			rows = append(rows, p.row(w.Key))
		}
	}
	return rows
}

func (p *Platform) row(key string) platformapi.Row {
	r := p.rows[key]
	r.Key = key
	return r
}

// write applies one write of a transaction and returns the resulting version of
// the row. All rows share one version counter, so that a row that was deleted and
// written again never repeats an old version.
func (p *Platform) write(w platformapi.Write) int64 {
	if w.Delete.Value {
		delete(p.rows, w.Key)
		return 0
	}
	if !w.Value.Set {
		return p.rows[w.Key].Version
	}
	p.lastVersion++
	p.rows[w.Key] = platformapi.Row{
		Key:     w.Key,
		Version: p.lastVersion,
		Value:   w.Value.Value,
	}
	return p.lastVersion
}

// GetRow implements platformapi.Handler.
func (p *Platform) GetRow(_ context.Context, params platformapi.GetRowParams) (*platformapi.Row, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.audit.update(func(r *Report) { r.TableReads++ })
	row := p.row(params.Key)
	return &row, nil
}

// ListRows implements platformapi.Handler.
func (p *Platform) ListRows(_ context.Context, params platformapi.ListRowsParams) (*platformapi.Rows, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.audit.update(func(r *Report) { r.TableReads++ })
	rows := []platformapi.Row{}
	for key, row := range p.rows {
		if strings.HasPrefix(key, params.Prefix) && key > params.After.Value {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	limit := params.Limit.Or(defaultListLimit)
	return &platformapi.Rows{
		Rows: rows[:min(limit, len(rows))],
	}, nil
}

// GetObject implements platformapi.Handler.
func (p *Platform) GetObject(_ context.Context, params platformapi.GetObjectParams) (*platformapi.Object, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	data, ok := p.objects[params.Key]
	if !ok {
		return nil, trace.NotFound("no object %q", params.Key)
	}
	return &platformapi.Object{
		Key:  params.Key,
		Data: data,
	}, nil
}

// PutObject implements platformapi.Handler.
func (p *Platform) PutObject(_ context.Context, req *platformapi.Object) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.objects[req.Key] = req.Data
	return nil
}

// ListMembers implements platformapi.Handler.
func (p *Platform) ListMembers(_ context.Context) (*platformapi.Members, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	listed := map[waxwingwall.VM]waxwingwall.Member{}
	for _, c := range p.changes {
		switch {
		case c.at.After(now):
		case c.removed:
			delete(listed, c.member.VM)
		default:
			listed[c.member.VM] = c.member
		}
	}
	out := &platformapi.Members{
		Members: []platformapi.Member{},
	}
	for _, m := range listed {
		out.Members = append(out.Members, encodeMember(m))
	}
	sort.Slice(out.Members, func(i, j int) bool { return out.Members[i].VM < out.Members[j].VM })
	return out, nil
}

func encodeMember(m waxwingwall.Member) platformapi.Member {
	state := platformapi.MemberStateLive
	if m.Leaving {
		state = platformapi.MemberStateLeaving
	}
	return platformapi.Member{
		VM:      string(m.VM),
		Address: m.Address.String(),
		Domain:  string(m.Domain),
		State:   state,
	}
}

// NewError implements platformapi.Handler.
func (p *Platform) NewError(_ context.Context, err error) *platformapi.FailureStatusCode {
	status := http.StatusInternalServerError
	if trace.IsNotFound(err) {
		status = http.StatusNotFound
	}
	var code interface{ Code() int }
	if errors.As(err, &code) {
		status = code.Code()
	}
	return &platformapi.FailureStatusCode{
		StatusCode: status,
		Response: platformapi.Failure{
			Reason: err.Error(),
		},
	}
}

// Address returns the address on which the platform listens.
func (p *Platform) Address() netip.AddrPort {
	return p.server.address()
}
