// Package eventlog gives the form of the node's log: one event a line, a word and pairs of name and value, as text that
// people read (the default) or as JSON by zerolog. It writes nothing itself.
package eventlog

import (
	"fmt"
	"strconv"
	"time"

	"github.com/rs/zerolog"
)

// Log takes one event: a word, then names and values in turn. A value is a string, a number, a truth value, an error or
// something that has a String method; nothing else has a form of its own. It does not wait.
type Log func(word string, pairs ...any)

// quoted are the names whose values are others' words: they stand in quotes even where there is no need.
var quoted = map[string]bool{"error": true, "text": true, "fault": true, "taker": true, "donor": true}

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
			b = appendWord(b, name, wordOf(v))
		}
	}
	return append(b, '\n')
}

// appendWord appends a value that is text, in quotes if it could be taken for something else.
func appendWord(b []byte, name, v string) []byte {
	if quoted[name] {
		return strconv.AppendQuote(b, v)
	}
	for i := range len(v) {
		if c := v[i]; c <= ' ' || c >= 0x7f || c == '"' || c == '\\' {
			return strconv.AppendQuote(b, v)
		}
	}
	return append(b, v...)
}

func wordOf(v any) string {
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

// WriteJSON sends an event to a logger of zerolog, as an object with time (RFC 3339 in milliseconds), word, code and
// the pairs. An event that names no code has its word for it.
func WriteJSON(to *zerolog.Logger, at time.Time, word string, pairs []any) {
	e := to.Log().Str("time", at.UTC().Format("2006-01-02T15:04:05.000Z07:00")).Str("word", word)
	coded := false
	for i := 0; i+1 < len(pairs); i += 2 {
		name, _ := pairs[i].(string)
		coded = coded || name == "code"
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
			e.Str(name, wordOf(v))
		}
	}
	if !coded {
		e.Str("code", word)
	}
	e.Send()
}
