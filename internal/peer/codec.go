package peer

import (
	"bufio"
	"errors"
	"io"
	"net/rpc"
	"sync"

	"github.com/vmihailenco/msgpack/v5"

	"geraniumstep.org/geraniumstep/internal/memory"
)

const (
	// bufferBytes is the size of each of the two buffers of a connection.
	bufferBytes = 16 << 10
	// maxMessageBytes limits a message with its header. The largest are full copies
	// of the catalogue or of the platform's store.
	maxMessageBytes = 32 << 20
)

// stream encodes and decodes messages on a connection.
type stream struct {
	conn    io.ReadWriteCloser
	limiter *memory.Limiter
	decoder *msgpack.Decoder
	encoder *msgpack.Encoder
	buffer  *bufio.Writer
	once    sync.Once
}

func newStream(conn io.ReadWriteCloser) *stream {
	buffer := bufio.NewWriterSize(conn, bufferBytes)
	limiter := memory.NewLimiter(conn)
	return &stream{
		conn:    conn,
		limiter: limiter,
		decoder: msgpack.NewDecoder(bufio.NewReaderSize(limiter, bufferBytes)),
		encoder: msgpack.NewEncoder(buffer),
		buffer:  buffer,
	}
}

func (s *stream) write(head, body any) error {
	if err := errors.Join(s.encoder.Encode(head), s.encoder.Encode(body)); err != nil {
		return errors.Join(err, s.Close())
	}
	return s.buffer.Flush()
}

// readHeader decodes the header of the next message.
func (s *stream) readHeader(head any) error {
	s.limiter.Limit(maxMessageBytes)
	return s.decoder.Decode(head)
}

// readBody decodes a body, or skips it if body is nil, which net/rpc passes when no call
// is waiting for it.
func (s *stream) readBody(body any) error {
	if body == nil {
		return s.decoder.Skip()
	}
	return s.decoder.Decode(body)
}

// Close closes the connection. Calls after the first one have no effect.
func (s *stream) Close() error {
	var err error
	s.once.Do(func() { err = s.conn.Close() })
	return err
}

type clientCodec struct{ *stream }

// NewClientCodec returns a codec for rpc.NewClientWithCodec.
func NewClientCodec(conn io.ReadWriteCloser) rpc.ClientCodec {
	return clientCodec{newStream(conn)}
}

// WriteRequest, ReadResponseHeader and ReadResponseBody implement rpc.ClientCodec.
func (c clientCodec) WriteRequest(r *rpc.Request, body any) error { return c.write(r, body) }

func (c clientCodec) ReadResponseHeader(r *rpc.Response) error { return c.readHeader(r) }

func (c clientCodec) ReadResponseBody(body any) error { return c.readBody(body) }

type serverCodec struct{ *stream }

// NewServerCodec returns a codec for rpc.Server.ServeCodec.
func NewServerCodec(conn io.ReadWriteCloser) rpc.ServerCodec {
	return serverCodec{newStream(conn)}
}

// ReadRequestHeader, ReadRequestBody and WriteResponse implement rpc.ServerCodec.
func (c serverCodec) ReadRequestHeader(r *rpc.Request) error { return c.readHeader(r) }

func (c serverCodec) ReadRequestBody(body any) error { return c.readBody(body) }

func (c serverCodec) WriteResponse(r *rpc.Response, body any) error { return c.write(r, body) }
