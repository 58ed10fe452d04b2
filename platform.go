package waxwingwall

import (
	"context"
	"errors"
	"net/netip"
	"time"
)

// Row is one row of the platform's table.
type Row struct {
	// Key is the row's key.
	Key string `json:"key"`

	// Version increases with every write. Zero means that the row is absent.
	Version int64 `json:"version"`

	// Value is the row's content, opaque to the table.
	Value string `json:"value"`
}

// AnyVersion disables the version check of a Write when used as its Expect.
const AnyVersion int64 = -1

// Write is one operation of a transaction.
type Write struct {
	// Key is the row's key.
	Key string

	// Expect is the version that the row must have: 0 for an absent row,
	// AnyVersion for no check.
	Expect int64

	// Value is the new content.
	Value string

	// Delete removes the row.
	Delete bool

	// CheckOnly checks the version without writing.
	CheckOnly bool
}

// Errors of the platform's services.
var (
	// ErrUnavailable means that the service did not respond. A write may or may
	// not have been applied.
	ErrUnavailable = errors.New("platform unavailable")

	// ErrConflict means that an expected version did not match; nothing was
	// written.
	ErrConflict = errors.New("version conflict")
)

// StoreClock is a time by the steady clock of the platform's table. Its zero value is no time.
type StoreClock struct {
	// Era counts the copies that the table came back from; Now is the time since an instant
	// that is the same within an era.
	Era int64
	Now time.Duration
}

// storeClockKey is the key of the value of WithStoreClock.
type storeClockKey struct{}

// WithStoreClock returns a context in which a call to a Table records in clock the time at which
// the table made its first answer, if the table tells.
func WithStoreClock(ctx context.Context, clock *StoreClock) context.Context {
	return context.WithValue(ctx, storeClockKey{}, clock)
}

// RecordStoreClock records the time of an answer for the caller of WithStoreClock, if there is
// one. A Table calls it before the call returns.
func RecordStoreClock(ctx context.Context, clock StoreClock) {
	if into, ok := ctx.Value(storeClockKey{}).(*StoreClock); ok && *into == (StoreClock{}) {
		*into = clock
	}
}

// Table is the platform's transactional table.
type Table interface {
	// Transact applies all writes atomically and returns the new versions. It
	// fails with ErrConflict, or with ErrUnavailable when the result is unknown.
	Transact(ctx context.Context, writes []Write) ([]int64, error)

	// Get returns a row; an absent row has version 0.
	Get(ctx context.Context, key string) (Row, error)

	// List returns all rows whose keys begin with prefix, in key order.
	List(ctx context.Context, prefix string) ([]Row, error)
}

// ObjectStore is the platform's object store.
type ObjectStore interface {
	// Put stores data under key, replacing any previous data.
	Put(ctx context.Context, key string, data []byte) error

	// Get returns the data stored under key.
	Get(ctx context.Context, key string) ([]byte, error)
}

// Member is one VM on the platform's member list.
type Member struct {
	// VM names the VM.
	VM VM `json:"vm"`

	// Address is where its router listens for peers.
	Address netip.AddrPort `json:"address"`

	// Domain is its failure domain.
	Domain Domain `json:"domain"`

	// Leaving is set once the platform is about to remove the VM.
	Leaving bool `json:"leaving"`
}

// Members is the platform's member list. It lags behind the actual state.
type Members interface {
	// ListMembers returns the VMs that the platform lists as running.
	ListMembers(ctx context.Context) ([]Member, error)
}
