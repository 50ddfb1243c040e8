// Package spans splits JSON text into the members of its objects and the elements of its
// arrays without decoding them, so that one value that cannot be decoded does not prevent
// the others from being read. Values may be nested to any depth.
//
//	members, err := spans.Object(data)
//	items, err := spans.Array(members["items"])
package spans

import (
	"bytes"
	"encoding/json"
	"errors"
)

// ErrStructure reports text in which the values cannot be told apart.
var ErrStructure = errors.New("brackets, quotes, colons or commas do not match; the text is no JSON object or array")

// Object returns the values of an object by the names of its members. The last of several
// members of a name counts. With an error, it returns the members before the place of it.
func Object(data []byte) (map[string]json.RawMessage, error) {
	s := scanner{data: data}
	members := make(map[string]json.RawMessage)
	if !s.skip('{') {
		return members, ErrStructure
	}
	for first := true; !s.skip('}'); first = false {
		if !first && !s.skip(',') {
			return members, ErrStructure
		}
		quoted, ok := s.value()
		var name string
		if !ok || json.Unmarshal(quoted, &name) != nil || !s.skip(':') {
			return members, ErrStructure
		}
		value, ok := s.value()
		if !ok {
			return members, ErrStructure
		}
		members[name] = value
	}
	return members, s.end()
}

// Array returns the elements of an array.
func Array(data []byte) ([]json.RawMessage, error) {
	s := scanner{data: data}
	if !s.skip('[') {
		return nil, ErrStructure
	}
	var elements []json.RawMessage
	for first := true; !s.skip(']'); first = false {
		if !first && !s.skip(',') {
			return nil, ErrStructure
		}
		element, ok := s.value()
		if !ok {
			return nil, ErrStructure
		}
		elements = append(elements, element)
	}
	return elements, s.end()
}

// scanner reads JSON text from the position at.
type scanner struct {
	data []byte
	at   int
}

// skipSpace skips white space.
func (s *scanner) skipSpace() {
	for s.at < len(s.data) && isSpace(s.data[s.at]) {
		s.at++
	}
}

func isSpace(c byte) bool { return c == ' ' || c == '\t' || c == '\n' || c == '\r' }

// skip skips the character and reports whether it comes next.
func (s *scanner) skip(c byte) bool {
	s.skipSpace()
	if s.at == len(s.data) || s.data[s.at] != c {
		return false
	}
	s.at++
	return true
}

// end reports an error unless the text ends.
func (s *scanner) end() error {
	if s.skipSpace(); s.at < len(s.data) {
		return ErrStructure
	}
	return nil
}

// value returns the text of the next value. Brackets are counted, but not told apart by kind.
func (s *scanner) value() (json.RawMessage, bool) {
	s.skipSpace()
	start, depth := s.at, 0
	for s.at < len(s.data) {
		switch c := s.data[s.at]; {
		case c == '"':
			if !s.skipString() {
				return nil, false
			}
			if depth == 0 {
				return s.data[start:s.at], true
			}
			continue
		case c == '{' || c == '[':
			depth++
		case c == '}' || c == ']':
			if depth == 0 { // ends the value that holds this one
				return s.data[start:s.at], s.at > start
			}
			if depth--; depth == 0 {
				s.at++
				return s.data[start:s.at], true
			}
		case depth == 0 && (c == ',' || c == ':' || isSpace(c)):
			return s.data[start:s.at], s.at > start
		}
		s.at++
	}
	return s.data[start:], depth == 0 && s.at > start
}

// skipString skips a string, at whose opening quote the scanner stands.
func (s *scanner) skipString() bool {
	start := s.at + 1
	for s.at = start; ; s.at++ {
		quote := bytes.IndexByte(s.data[s.at:], '"')
		if quote < 0 {
			s.at = len(s.data)
			return false
		}
		s.at += quote
		escapes := 0
		for s.at-escapes > start && s.data[s.at-escapes-1] == '\\' {
			escapes++
		}
		if escapes%2 == 0 {
			s.at++
			return true
		}
	}
}
