package memory

import "io"

// Limiter is a reader that fails after a number of bytes, for decoders that hold what
// they read in memory. It has no limit until Limit is called.
type Limiter struct {
	reader  io.Reader
	left    int
	limited bool
}

// NewLimiter returns a Limiter of r without a limit.
func NewLimiter(r io.Reader) *Limiter { return &Limiter{reader: r} }

// Limit makes reading fail with ErrTooLarge after the next n bytes. Bytes that a caller
// has buffered already do not count.
func (l *Limiter) Limit(n int) { l.left, l.limited = n, true }

// Unlimit removes the limit.
func (l *Limiter) Unlimit() { l.limited = false }

// Read implements io.Reader.
func (l *Limiter) Read(p []byte) (int, error) {
	if !l.limited {
		return l.reader.Read(p)
	}
	if l.left == 0 {
		return 0, ErrTooLarge
	}
	n, err := l.reader.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}
