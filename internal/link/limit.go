package link

import (
	"errors"
	"io"
)

const (
	// maxHeadBytes limits the head of a response, including all interim (1xx)
	// responses before it.
	maxHeadBytes = 64 << 10
	// maxResponseBytes limits the body of an upstream's response, which is held
	// in memory.
	maxResponseBytes = 8 << 20
)

var errHeadTooLarge = errors.New("response head exceeds the size limit")

// headLimiter is the reader of a connection. While a head is read, it returns
// errHeadTooLarge after maxHeadBytes: http.ReadResponse reads lines and headers of any
// length into memory.
type headLimiter struct {
	reader io.Reader
	left   int
	inHead bool
}

// beginHead begins the head of a response. Bytes that are buffered already do not
// count.
func (l *headLimiter) beginHead() { l.left, l.inHead = maxHeadBytes, true }

func (l *headLimiter) endHead() { l.inHead = false }

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.inHead {
		return l.reader.Read(p)
	}
	if l.left == 0 {
		return 0, errHeadTooLarge
	}
	n, err := l.reader.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}
