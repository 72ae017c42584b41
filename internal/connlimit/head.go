package connlimit

import "bytes"

// Charges for what a connection makes the process hold. TestChargesCoverParsedHeads
// compares those for heads with what net/http allocates.
const (
	// ConnBytes is charged for each connection: its goroutine, its buffers and the state
	// of its request.
	ConnBytes = 16 << 10
	// headByteCharge is charged for each byte of a head: the line that is read, the
	// strings made of it and the parsed request target.
	headByteCharge = 3
	// headLineCharge is charged for each line of a head: entries of maps, their growth, a
	// key and a slice of values.
	headLineCharge = 128
	// readAheadBytes is the buffer size of net/http: what it may have read of the next head
	// when a request ends.
	readAheadBytes = 4096
)

// headScanner calculates the charges for heads from the bytes of a connection as they are
// read. It relies on the server's report when a head was parsed and when a request ended, and
// never takes a head for complete that the server still reads: all bytes that are read before
// that report are charged, except those that follow an empty line in the same read. These are
// charged with the next read, or as part of the next head.
type headScanner struct {
	active bool // the head was parsed: what is read is a body or the start of the next head
	read   bool // bytes of the current head were read
	// unsure: part of the head may have been read ahead, so that it may end earlier than its
	// later parts show.
	unsure bool
	// begun: a byte other than CR and LF was read since the last head.
	begun     bool
	lineBytes int // of the current line, at most 2
	onlyCR    bool
	rest      charge // for what followed the empty line in the last read
	// ahead is at least the charge for what the server's buffer has of the next head when
	// the current request ends.
	ahead charge
}

type charge struct{ bytes, lines int }

func (c charge) plus(o charge) charge { return charge{c.bytes + o.bytes, c.lines + o.lines} }

// total returns the charge in bytes of memory.
func (c charge) total() int64 { return int64(c.bytes)*headByteCharge + int64(c.lines)*headLineCharge }

func chargeFor(p []byte) charge {
	return charge{bytes: len(p), lines: bytes.Count(p, []byte{'\n'})}
}

// addRead accounts for p, which was read with a buffer of size bytes, and returns the charge.
func (s *headScanner) addRead(p []byte, size int) charge {
	if s.active {
		s.addActiveRead(p, size)
		return charge{}
	}
	n, complete := s.headLength(p)
	c := chargeFor(p[:n])
	if s.read {
		c = c.plus(s.rest)
	} else {
		c = c.plus(s.ahead)
		s.unsure = s.ahead.bytes > 0
	}
	s.read = true
	s.rest = chargeFor(p[n:])
	s.ahead = s.rest
	if !complete || s.unsure {
		s.ahead = chargeFor(p)
	}
	return c
}

// addActiveRead updates ahead. The server's buffer retains up to readAheadBytes-size bytes
// of earlier reads; a larger size is that of the reader of a body, which reads past the
// empty buffer. Single bytes are how the server notices that the client disconnected.
func (s *headScanner) addActiveRead(p []byte, size int) {
	c := chargeFor(p)
	switch {
	case size == 1:
		s.ahead = s.ahead.plus(c)
	case size > readAheadBytes:
		s.ahead = charge{}
	default:
		retained := readAheadBytes - size
		s.ahead = charge{min(s.ahead.bytes, retained), min(s.ahead.lines, retained)}.plus(c)
	}
}

// headLength returns how many bytes of p belong to the head, and whether it ends in p.
func (s *headScanner) headLength(p []byte) (int, bool) {
	for i := 0; i < len(p); {
		end := bytes.IndexByte(p[i:], '\n')
		if end < 0 {
			s.addToLine(p[i:])
			break
		}
		s.addToLine(p[i : i+end])
		i += end + 1
		empty := s.lineBytes == 0 || s.lineBytes == 1 && s.onlyCR
		s.lineBytes = 0
		if empty && s.begun {
			s.begun = false
			return i, true
		}
		s.begun = s.begun || !empty
	}
	return len(p), false
}

func (s *headScanner) addToLine(p []byte) {
	if s.lineBytes == 0 && len(p) > 0 {
		s.onlyCR = p[0] == '\r'
	}
	s.lineBytes = min(s.lineBytes+len(p), 2)
}

// parsed reports that the server has parsed the head. It returns the charge for a head
// that was read ahead completely.
func (s *headScanner) parsed() charge {
	s.active = true
	if s.read {
		return charge{}
	}
	return s.ahead
}

// ended reports that the request ended.
func (s *headScanner) ended() { *s = headScanner{ahead: s.ahead} }
