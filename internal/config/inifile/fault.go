package inifile

import (
	"fmt"
	"strings"
)

// Fault is one setting that is not allowed.
type Fault struct {
	// File is the name of the settings file.
	File string `json:"file"`
	// Section is the section's name; it is empty for a fault of the file.
	Section string `json:"section"`
	// Key is the setting's key; it is empty for a fault of the section.
	Key string `json:"key,omitempty"`
	// Value is what the file holds.
	Value string `json:"value,omitempty"`
	// Allowed tells what the file may hold.
	Allowed string `json:"allowed"`
}

// Error returns the fault as one line.
func (f Fault) Error() string {
	var b strings.Builder
	b.WriteString(f.File)
	if f.Section != "" {
		fmt.Fprintf(&b, ": section [%s]", f.Section)
	}
	if f.Key != "" {
		fmt.Fprintf(&b, ": key %s", f.Key)
	}
	if f.Value != "" {
		fmt.Fprintf(&b, ": %q is not allowed", f.Value)
	}
	fmt.Fprintf(&b, ": allowed: %s", f.Allowed)
	return b.String()
}

// Faults is a list of faults; it is an error when it is not empty.
type Faults []Fault

// Error returns one line for each fault.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		lines = append(lines, fault.Error())
	}
	return strings.Join(lines, "\n")
}

// OrNil returns the faults as an error, or nil when there are none.
func (f Faults) OrNil() error {
	if len(f) == 0 {
		return nil
	}
	return f
}
