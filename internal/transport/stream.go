package transport

import (
	"bufio"
	"encoding/binary"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

// MaxMessageBytes is the largest message that a stream accepts.
const MaxMessageBytes = 16 << 20

const readBufferBytes = 512 // yamux buffers what arrives; most messages are shorter

// Stream carries length-delimited messages. Send and Recv may run at the same time; each is safe for concurrent use.
type Stream struct {
	conn net.Conn
	// count is nil for messages that are not counted. It is set before other goroutines use the stream.
	count *trafficCount

	sendMu sync.Mutex // guards buf and writes to conn
	buf    []byte

	recvMu sync.Mutex // guards reader
	reader *bufio.Reader
}

func newStream(conn net.Conn) *Stream {
	return &Stream{conn: conn, reader: bufio.NewReaderSize(conn, readBufferBytes)}
}

// Send writes one message.
func (s *Stream) Send(m proto.Message) error {
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	size := proto.Size(m)
	s.buf = binary.AppendUvarint(s.buf[:0], uint64(size))
	var err error
	s.buf, err = proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(s.buf, m)
	if err != nil {
		return errors.Wrap(err, "encode message")
	}
	if _, err = s.conn.Write(s.buf); err != nil {
		return errors.Wrap(err, "send message")
	}
	s.count.addSent(len(s.buf))
	return nil
}

// Recv reads one message. It returns io.EOF when the other side closed its end between messages.
func (s *Stream) Recv(m proto.Message) error {
	s.recvMu.Lock()
	defer s.recvMu.Unlock()
	if err := (protodelim.UnmarshalOptions{MaxSize: MaxMessageBytes}).UnmarshalFrom(s.reader, m); err != nil {
		return err
	}
	s.count.addReceived(m)
	return nil
}

// SetDeadline limits later Sends and Recvs; the zero time removes the limit.
func (s *Stream) SetDeadline(t time.Time) error { return s.conn.SetDeadline(t) }

// Close ends the stream for both directions of this side.
func (s *Stream) Close() error { return s.conn.Close() }
