// Package memory bounds the bytes of the messages that a process holds at a time. Each
// request has an account, which reserves the bytes of its messages from a common pool
// before they are read, and returns them together when the request has ended.
//
//	p := memory.New(64 << 20)
//	a := p.Open()
//	defer a.Close()
//	body, err := a.ReadAll(r, maxBytes)
package memory

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
)

var (
	// ErrExhausted is returned when the pool has no bytes left. The message was
	// not read completely.
	ErrExhausted = errors.New("messages in progress hold all memory set aside for them; try again later")
	// ErrTooLarge is returned for a single message that exceeds its limit.
	ErrTooLarge = errors.New("message exceeds the size limit")
)

// firstStepBytes is reserved before the first byte of a message of unknown length. The
// steps double up to maxStepBytes.
const (
	firstStepBytes = 2 << 10
	maxStepBytes   = 1 << 20
)

// Pool is the memory that all accounts share. It is safe for concurrent use.
type Pool struct {
	limit int64
	used  atomic.Int64
}

// New returns a pool of the given number of bytes.
func New(limitBytes int64) *Pool { return &Pool{limit: limitBytes} }

// Used returns the number of reserved bytes.
func (p *Pool) Used() int64 { return p.used.Load() }

// Open returns an account without reservations, which one user holds.
func (p *Pool) Open() *Account { return &Account{pool: p, users: 1} }

func (p *Pool) reserve(n int64) bool {
	if p.used.Add(n) > p.limit {
		p.used.Add(-n)
		return false
	}
	return true
}

// Account holds the reservations of one request. It is safe for concurrent use. A nil
// account has no limit.
type Account struct {
	pool *Pool

	mu    sync.Mutex
	held  int64
	users int
}

// Retain adds a user. Each user must call Close.
func (a *Account) Retain() {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.users++
}

// Reserve reserves bytes until the last user calls Close, and reports whether the pool
// had enough.
func (a *Account) Reserve(n int64) bool {
	if a == nil {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.pool.reserve(n) {
		return false
	}
	a.held += n
	return true
}

// Close removes a user. The last one returns all reservations.
func (a *Account) Close() {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.users--; a.users == 0 {
		a.pool.used.Add(-a.held)
		a.held = 0
	}
}

// ReadAll reads a message of at most maxBytes to its end. The bytes stay reserved until
// the last Close, even if reading fails.
func (a *Account) ReadAll(r io.Reader, maxBytes int64) ([]byte, error) {
	data := []byte{}
	reserved := int64(0)
	for step := int64(firstStepBytes); ; step = min(2*step, maxStepBytes) {
		// One byte more than allowed shows that the message is too large.
		step = min(step, maxBytes+1-reserved)
		if !a.Reserve(step) {
			return nil, ErrExhausted
		}
		reserved += step
		data = append(make([]byte, 0, reserved), data...)
		for int64(len(data)) < reserved {
			n, err := r.Read(data[len(data):cap(data)])
			data = data[:len(data)+n]
			if errors.Is(err, io.EOF) && int64(len(data)) <= maxBytes {
				return data, nil
			}
			if err != nil && !errors.Is(err, io.EOF) {
				return nil, err
			}
			if int64(len(data)) > maxBytes {
				return nil, ErrTooLarge
			}
		}
	}
}
