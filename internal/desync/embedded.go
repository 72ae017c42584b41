package desync

import (
	"bytes"
	"net/http"
)

// protocolPrefix begins each status line of HTTP/1.
var protocolPrefix = []byte("HTTP/1.")

const (
	// statusCodeEnd is the length of "HTTP/1.1 200".
	statusCodeEnd = 12
	// maxEmbeddedHead bounds the head of a second response, in bytes.
	maxEmbeddedHead = MaxHeadBytes
)

// verdict says what bytes that may be the head of a second response are.
type verdict int

const (
	notHead    verdict = iota // they are no head
	undecided                 // they may be the start of a head
	otherHead                 // a complete head of no known call
	calledHead                // the head of the response to a known call
)

// matchesStatusCode reports whether b, of up to statusCodeEnd bytes or more, matches
// "HTTP/1.1 200" as far as it goes, with any minor version of 0 or 1 and any code.
func matchesStatusCode(b []byte) bool {
	for i, c := range b[:min(len(b), statusCodeEnd)] {
		switch {
		case i < len(protocolPrefix):
			if c != protocolPrefix[i] {
				return false
			}
		case i == len(protocolPrefix):
			if c != '0' && c != '1' {
				return false
			}
		case i == len(protocolPrefix)+1:
			if c != ' ' {
				return false
			}
		case c < '0' || c > '9':
			return false
		}
	}
	return true
}

// examine decides whether b begins with the head of a response. known reports whether a
// call had an identifier, which the field idField holds.
func examine(b []byte, idField string, known func(id []byte) bool) verdict {
	if !matchesStatusCode(b) {
		return notHead
	}
	if len(b) <= statusCodeEnd {
		return undecided
	}
	if c := b[statusCodeEnd]; c != ' ' && c != '\r' && c != '\n' {
		return notHead
	}
	line, rest, ended := bytes.Cut(b, []byte("\n"))
	if !ended {
		return undecidedUpToLimit(b)
	}
	if bytes.ContainsAny(trimCR(line), "\r\x00") {
		return notHead
	}
	for {
		line, rest, ended = bytes.Cut(rest, []byte("\n"))
		line = trimCR(line)
		if ended && len(line) == 0 {
			return otherHead
		}
		name, value, isField := bytes.Cut(line, []byte(":"))
		if !isToken(name) || ended && (!isField || len(name) == 0) {
			return notHead
		}
		if !ended {
			return undecidedUpToLimit(b)
		}
		if bytes.EqualFold(name, []byte(idField)) && known(bytes.TrimSpace(value)) {
			return calledHead
		}
	}
}

func undecidedUpToLimit(b []byte) verdict {
	if len(b) >= maxEmbeddedHead {
		return notHead
	}
	return undecided
}

func trimCR(line []byte) []byte {
	line, _ = bytes.CutSuffix(line, []byte("\r"))
	return line
}

// isToken reports whether name, which may be empty, has only characters of the name of a
// header field (RFC 9110, 5.6.2).
func isToken(name []byte) bool {
	for _, c := range name {
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		case bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), c) >= 0:
		default:
			return false
		}
	}
	return true
}

// IndexFramedHead returns the index of the first complete response head in b that has a
// field of framingFields, or -1. An event stream has none, whoever sent it: its lines
// begin with the names of its own fields.
func IndexFramedHead(b []byte) int {
	for from := 0; ; from++ {
		from += indexCandidate(b[from:])
		if from >= len(b) {
			return -1
		}
		if examine(b[from:], "", neverKnown) == otherHead && hasFramingField(b[from:]) {
			return from
		}
	}
}

func neverKnown([]byte) bool { return false }

// hasFramingField reports whether the complete head at the start of b has a field of
// framingFields.
func hasFramingField(b []byte) bool {
	for line := range bytes.Lines(b) {
		line = trimLineEnd(line)
		if len(line) == 0 {
			return false
		}
		name, _, _ := bytes.Cut(line, []byte(":"))
		if framingFields[http.CanonicalHeaderKey(string(name))] {
			return true
		}
	}
	return false
}

// indexCandidate returns the index in b of the first bytes that may begin a status line,
// complete or cut at the end of b, or len(b).
func indexCandidate(b []byte) int {
	for from := 0; ; {
		i := bytes.IndexByte(b[from:], protocolPrefix[0])
		if i < 0 {
			return len(b)
		}
		from += i
		if matchesStatusCode(b[from:]) {
			return from
		}
		from++
	}
}
