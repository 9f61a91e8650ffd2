package transport

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/fulmardoor/fulmardoor/internal/membudget"
)

// MaxMessageBytes is the largest message that a stream accepts.
const MaxMessageBytes = 16 << 20

// readBufferBytes is small because yamux buffers received data itself and most messages are shorter.
const readBufferBytes = 512

// Stream carries length-delimited protobuf messages. It is safe for concurrent use.
type Stream struct {
	conn net.Conn
	// counter counts the bytes of the messages; nil for streams that are not counted. It is set before other goroutines use
	// the stream.
	counter *trafficCounter

	sendMu  sync.Mutex // guards sendBuf and writes to conn
	sendBuf []byte

	recvMu sync.Mutex // guards reader
	reader *bufio.Reader
	// limits bound the messages that are being received; nil for no limit.
	limits *Limits
}

func newStream(conn net.Conn, limits *Limits) *Stream {
	return &Stream{conn: conn, reader: bufio.NewReaderSize(conn, readBufferBytes), limits: limits}
}

// Send writes one message.
func (s *Stream) Send(m proto.Message) error {
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	size := proto.Size(m)
	s.sendBuf = binary.AppendUvarint(s.sendBuf[:0], uint64(size))
	var err error
	s.sendBuf, err = proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(s.sendBuf, m)
	if err != nil {
		return errors.Wrap(err, "encode message")
	}
	if _, err = s.conn.Write(s.sendBuf); err != nil {
		return errors.Wrap(err, "send message")
	}
	s.counter.addSent(len(s.sendBuf))
	return nil
}

// Recv reads one message. It returns io.EOF if the remote end was closed after a complete message.
func (s *Stream) Recv(m proto.Message) error {
	s.recvMu.Lock()
	defer s.recvMu.Unlock()
	size, err := binary.ReadUvarint(s.reader)
	switch {
	case err != nil:
		return err
	case size > MaxMessageBytes:
		return errors.Errorf("message of %d bytes, the limit is %d", size, MaxMessageBytes)
	case size <= readBufferBytes:
		err = s.recvShort(int(size), m)
	default:
		err = s.recvLong(int(size), m)
	}
	if err != nil {
		return err
	}
	s.counter.addReceived(m)
	return nil
}

// recvShort reads a message that fits into the buffer of the reader.
func (s *Stream) recvShort(size int, m proto.Message) error {
	text, err := s.reader.Peek(size)
	if err != nil {
		return unexpectedEnd(err)
	}
	if err := proto.Unmarshal(text, m); err != nil {
		return errors.Wrap(err, "decode message")
	}
	_, err = s.reader.Discard(size)
	return err
}

// recvLong reads a message into memory that grows with what arrives, because the other process may announce more than it sends.
func (s *Stream) recvLong(size int, m proto.Message) error {
	buffer := s.limits.messageMemory().NewBuffer()
	defer buffer.Release()
	if err := buffer.Fill(s.reader, size); err != nil {
		if errors.Is(err, membudget.ErrExhausted) {
			s.limits.report(causeMessageMemory)
		}
		return errors.Wrap(unexpectedEnd(err), "receive message")
	}
	if buffer.Len() < size {
		return io.ErrUnexpectedEOF
	}
	if err := proto.Unmarshal(buffer.Bytes(), m); err != nil {
		return errors.Wrap(err, "decode message")
	}
	return nil
}

// unexpectedEnd returns the error of a message that is not complete; io.EOF stands for an end between two messages.
func unexpectedEnd(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// SetDeadline sets the deadline of all Send and Recv calls; the zero time removes it.
func (s *Stream) SetDeadline(t time.Time) error { return s.conn.SetDeadline(t) }

// Close closes the local end of the stream, for reading and writing.
func (s *Stream) Close() error { return s.conn.Close() }

// discard reads what the other process still sends on a stream whose local end is closed, until that process closes its end too. yamux would keep up to a
// window of it.
func (s *Stream) discard() {
	if s.conn.SetDeadline(time.Time{}) != nil {
		return
	}
	s.recvMu.Lock()
	defer s.recvMu.Unlock()
	for {
		if _, err := s.reader.Discard(readBufferBytes); err != nil {
			return
		}
	}
}
