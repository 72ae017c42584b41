package eventlog

import (
	"strconv"
	"time"
)

// FormatVersion is the version of the fields of a request's log line. Each such line
// carries it, so that a reader can detect lines of another version.
const FormatVersion = 1

// Field is a field of a log line.
type Field struct {
	key     string
	text    string
	number  int64
	isText  bool
	omitted bool
}

// Text returns a string field, which is omitted if it is empty.
func Text(key, value string) Field {
	return Field{key: key, text: value, isText: true, omitted: value == ""}
}

// Int returns an integer field.
func Int[T ~int | ~int64](key string, value T) Field { return Field{key: key, number: int64(value)} }

// Millis returns an integer field with a duration in whole milliseconds.
func Millis(key string, d time.Duration) Field { return Field{key: key, number: d.Milliseconds()} }

// Bool returns a field that has the value 1 if value is true and is omitted otherwise.
func Bool(key string, value bool) Field {
	return Field{key: key, number: 1, omitted: !value}
}

// Event queues an info line in the format of the lines of Logger. A request writes one or
// two of them. Event takes a tenth of the processor time of the logger, which formats
// fields of any type by reflection.
func (l *Log) Event(module, message string, fields ...Field) {
	if !l.limiter.Allow() {
		l.drop()
		return
	}
	l.enqueue(formatEvent(module, message, fields))
}

// BulkEvent is like Event for lines that may come in a flood, such as refusals. They are
// dropped first, so that a flood leaves room for the other lines.
func (l *Log) BulkEvent(module, message string, fields ...Field) {
	if l.limiter.Tokens() < reservedLines {
		l.drop()
		return
	}
	l.Event(module, message, fields...)
}

// AllowBulk reports whether a bulk event would be written now, so that its fields need not
// be collected otherwise. If not, it counts a dropped line.
func (l *Log) AllowBulk() bool {
	if l.limiter.Tokens() < reservedLines {
		l.drop()
		return false
	}
	return true
}

func formatEvent(module, message string, fields []Field) []byte {
	b := make([]byte, 0, eventSize)
	b = append(b, `{"@level":"info","@message":`...)
	b = appendText(b, message)
	b = append(b, `,"@module":`...)
	b = appendText(b, module)
	b = append(b, `,"@timestamp":"`...)
	b = time.Now().UTC().AppendFormat(b, timestampFormat)
	b = append(b, '"')
	for i := range fields {
		b = fields[i].append(b)
	}
	return append(b, '}', '\n')
}

const (
	// eventSize is the initial capacity of the buffer of a line, in bytes; it grows for
	// longer lines.
	eventSize       = 512
	timestampFormat = "2006-01-02T15:04:05.000000Z07:00"
)

func (f *Field) append(buf []byte) []byte {
	if f.omitted {
		return buf
	}
	buf = append(buf, ',')
	buf = appendText(buf, f.key)
	buf = append(buf, ':')
	if f.isText {
		return appendText(buf, f.text)
	}
	return strconv.AppendInt(buf, f.number, 10)
}

const hexDigits = "0123456789abcdef"

// appendText appends s as a JSON string. s can hold data from callers, so every byte that
// is not printable ASCII, and every quote and backslash, is escaped.
func appendText(b []byte, s string) []byte {
	b = append(b, '"')
	for i := 0; i < len(s); i++ {
		switch c := s[i]; {
		case c == '"' || c == '\\':
			b = append(b, '\\', c)
		case c < ' ' || c >= 0x7f:
			b = append(b, '\\', 'u', '0', '0', hexDigits[c>>4], hexDigits[c&15])
		default:
			b = append(b, c)
		}
	}
	return append(b, '"')
}
