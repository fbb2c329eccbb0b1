// Package events defines the numbered events that the program logs. The table in
// docs/EVENTS.md is generated from this package, and a test compares the two.
package events

import (
	"fmt"

	"github.com/rs/zerolog"
)

// Level is the level at which an event is logged.
type Level string

// Levels of events.
const (
	Debug Level = "debug"
	Info  Level = "info"
	Warn  Level = "warn"
	Error Level = "error"
)

// Event is one type of log line.
type Event struct {
	// Number is stable across releases; its thousands group events by subject.
	Number int
	// Name is the snake case name of the event.
	Name string
	// Level is the level at which the event is logged.
	Level Level
	// Text describes the event in one sentence.
	Text string
}

// String returns the number and the name of the event.
func (e Event) String() string { return fmt.Sprintf("%d %s", e.Number, e.Name) }

// Log starts a log line with the number, name and text of the event. The caller adds fields and
// writes the line with Send.
func Log(l zerolog.Logger, e Event) *zerolog.Event {
	level, err := zerolog.ParseLevel(string(e.Level))
	if err != nil {
		level = zerolog.ErrorLevel
	}
	line := l.WithLevel(level) //nolint:zerologlint // the caller sends the line
	return line.Int("event", e.Number).Str("name", e.Name).Str(zerolog.MessageFieldName, e.Text)
}
