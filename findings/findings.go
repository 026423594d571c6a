// Package findings collects validation problems with their location in the input, so that one response reports all of
// them.
package findings

import (
	"fmt"
	"strings"
)

// Location is the position of a finding in its input. String omits unset fields.
type Location struct {
	File    string `json:"file,omitempty"`
	Section string `json:"section,omitempty"`
	Key     string `json:"key,omitempty"`
	// Line is 1-based; 0 means that the line is unknown.
	Line int `json:"line,omitempty"`
}

// String formats the location as file:line [section] key.
func (p Location) String() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Line > 0 {
		fmt.Fprintf(&b, ":%d", p.Line)
	}
	if p.Section != "" {
		fmt.Fprintf(&b, " [%s]", p.Section)
	}
	if p.Key != "" {
		fmt.Fprintf(&b, " %s", p.Key)
	}
	return strings.TrimSpace(b.String())
}

// Finding is one validation problem in an input.
type Finding struct {
	Location Location `json:"place"`
	Message  string   `json:"message"`
}

// String formats the finding as a single line.
func (f Finding) String() string {
	if location := f.Location.String(); location != "" {
		return location + ": " + f.Message
	}
	return f.Message
}

// List collects findings. Its zero value is ready to use. It is not safe for concurrent use.
type List struct {
	items []Finding
}

// Addf records a finding at a location.
func (l *List) Addf(location Location, format string, args ...any) {
	l.items = append(l.items, Finding{Location: location, Message: fmt.Sprintf(format, args...)})
}

// Merge appends all findings of another list.
func (l *List) Merge(other List) {
	l.items = append(l.items, other.items...)
}

// Items returns the findings in the order in which they were recorded.
func (l *List) Items() []Finding { return l.items }

// Len returns the number of findings.
func (l *List) Len() int { return len(l.items) }

// Err returns nil for an empty list, and otherwise an *Error that holds all findings.
func (l *List) Err() error {
	if len(l.items) == 0 {
		return nil
	}
	return &Error{Findings: l.items}
}

// Error reports all findings of a rejected input.
type Error struct {
	Findings []Finding `json:"findings"`
}

// Error returns one line for each finding.
func (e *Error) Error() string {
	lines := make([]string, len(e.Findings))
	for i, f := range e.Findings {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
