package desync

import (
	"bytes"
	"net/http"
	"slices"
)

// framingFields are the fields that identify and frame any response. No response
// repeats them, and none of them can quote a status line.
var framingFields = map[string]bool{
	"Connection": true, "Content-Length": true, "Content-Type": true, "Date": true,
	"Keep-Alive": true, "Transfer-Encoding": true,
}

// repeatableFields are those of framingFields that may be sent as several lines.
var repeatableFields = map[string]bool{"Connection": true, "Keep-Alive": true}

// quotePrefixes are the characters after which a field value may quote a status line.
// Other characters before a status line are the rest of a truncated line.
const quotePrefixes = " \t\"'`([{<=,;:|"

// CheckHead returns an error marked ErrJoined if raw, the head of a response as received,
// consists of two heads. unique names, in canonical form, the fields that a target sends
// once per response, beside those of HTTP.
func CheckHead(raw []byte, unique ...string) error {
	seen := make(map[string]bool, len(unique)+len(framingFields))
	statusLine := true
	for line := range bytes.Lines(raw) {
		line = trimLineEnd(line)
		if i := bytes.IndexAny(line, "\r\x00"); i >= 0 {
			return joined("response head has the control character %#x", line[i])
		}
		if statusLine {
			statusLine = false
			if i := indexStatusLine(line[min(1, len(line)):]); i >= 0 {
				return joined("status line %q has a second one", line)
			}
			continue
		}
		if err := checkField(line, seen, unique); err != nil {
			return err
		}
	}
	if seen["Content-Length"] && seen["Transfer-Encoding"] {
		return joined("response head frames its body twice")
	}
	return nil
}

// CheckTrailer returns an error marked ErrJoined if the trailer section of a chunked body
// takes in the head of a second response.
func CheckTrailer(trailer http.Header, unique ...string) error {
	for name, values := range trailer {
		if slices.Contains(unique, name) {
			return joined("trailer section has the field %s of a head", name)
		}
		for _, value := range values {
			if indexStatusLine([]byte(value)) >= 0 {
				return joined("trailer section takes in a status line")
			}
		}
	}
	return nil
}

// checkField checks one line after the status line. seen holds the fields of the lines
// before that occur once.
func checkField(line []byte, seen map[string]bool, unique []string) error {
	rawName, _, _ := bytes.Cut(line, []byte(":"))
	name := http.CanonicalHeaderKey(string(rawName))
	if occursOnce(name, unique) {
		if seen[name] {
			return repeated(name)
		}
		seen[name] = true
	}
	return checkQuote(name, line, unique)
}

func repeated(name string) error { return joined("response head repeats the field %s", name) }

// checkQuote checks that the line of a field takes in no status line, but where its value
// may quote one.
func checkQuote(name string, line []byte, unique []string) error {
	i := indexStatusLine(line)
	if i < 0 {
		return nil
	}
	if isIdentifying(name, unique) || i == 0 || bytes.IndexByte([]byte(quotePrefixes), line[i-1]) < 0 {
		return joined("line %q of a response head takes in a status line", line)
	}
	return nil
}

// isIdentifying reports whether a field identifies or frames a response.
func isIdentifying(name string, unique []string) bool {
	return framingFields[name] || slices.Contains(unique, name)
}

// occursOnce reports whether no response repeats a field.
func occursOnce(name string, unique []string) bool {
	return isIdentifying(name, unique) && !repeatableFields[name]
}

// trimLineEnd removes the line terminator.
func trimLineEnd(line []byte) []byte {
	line, found := bytes.CutSuffix(line, []byte("\n"))
	if found {
		line = trimCR(line)
	}
	return line
}

// indexStatusLine returns the index of the first status line in line, without its line
// terminator, or -1.
func indexStatusLine(line []byte) int {
	for from := 0; ; {
		i := bytes.Index(line[from:], protocolPrefix)
		if i < 0 {
			return -1
		}
		from += i
		rest := line[from:]
		if len(rest) >= statusCodeEnd && matchesStatusCode(rest) && (len(rest) == statusCodeEnd || rest[statusCodeEnd] == ' ') {
			return from
		}
		from++
	}
}
