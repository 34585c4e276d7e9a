// Package eventlog formats the events of the node's log, one per line. An event is a word with pairs of name
// and value. It is written as text, which is the default, or as JSON by zerolog. The package does no I/O
// itself.
package eventlog

import (
	"fmt"
	"strconv"
	"time"

	"github.com/rs/zerolog"
)

// Log records one event: a word, then names and values in turn. A value is a string, an int, a float64, a bool,
// an error or a fmt.Stringer; other types are formatted by fmt.Sprint. It does not block.
type Log func(word string, pairs ...any)

// alwaysQuoted holds the names whose values come from other programs or from error texts. They are quoted even
// if they need no quotes.
var alwaysQuoted = map[string]bool{"error": true, "text": true, "fault": true, "taker": true, "donor": true}

// AppendText appends an event as a line of text: the time of day in UTC, the word, then name=value.
func AppendText(b []byte, at time.Time, word string, pairs []any) []byte {
	b = at.UTC().AppendFormat(b, "15:04:05.000 ")
	b = append(b, word...)
	for i := 0; i+1 < len(pairs); i += 2 {
		name, _ := pairs[i].(string)
		b = append(b, ' ')
		b = append(b, name...)
		b = append(b, '=')
		switch v := pairs[i+1].(type) {
		case string:
			b = appendWord(b, name, v)
		case int:
			b = strconv.AppendInt(b, int64(v), 10)
		case float64:
			b = strconv.AppendFloat(b, v, 'f', -1, 64)
		case bool:
			b = strconv.AppendBool(b, v)
		default:
			b = appendWord(b, name, textOf(v))
		}
	}
	return append(b, '\n')
}

// appendWord appends a text value. It is quoted if it would otherwise be ambiguous.
func appendWord(b []byte, name, v string) []byte {
	if alwaysQuoted[name] {
		return strconv.AppendQuote(b, v)
	}
	for i := range len(v) {
		if c := v[i]; c <= ' ' || c >= 0x7f || c == '"' || c == '\\' {
			return strconv.AppendQuote(b, v)
		}
	}
	return append(b, v...)
}

// textOf returns a value of any other type as text.
func textOf(v any) string {
	switch v := v.(type) {
	case nil:
		return ""
	case error:
		return v.Error()
	case fmt.Stringer:
		return v.String()
	}
	return fmt.Sprint(v)
}

// WriteJSON sends an event to a zerolog logger, as an object with time (RFC 3339 in milliseconds), word, code
// and the pairs. If no pair is named code, the word is also the code.
func WriteJSON(to *zerolog.Logger, at time.Time, word string, pairs []any) {
	e := to.Log().Str("time", at.UTC().Format("2006-01-02T15:04:05.000Z07:00")).Str("word", word)
	hasCode := false
	for i := 0; i+1 < len(pairs); i += 2 {
		name, _ := pairs[i].(string)
		hasCode = hasCode || name == "code"
		switch v := pairs[i+1].(type) {
		case string:
			e.Str(name, v)
		case int:
			e.Int(name, v)
		case float64:
			e.Float64(name, v)
		case bool:
			e.Bool(name, v)
		default:
			e.Str(name, textOf(v))
		}
	}
	if !hasCode {
		e.Str("code", word)
	}
	e.Send()
}
