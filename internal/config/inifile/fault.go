package inifile

import (
	"fmt"
	"strings"
)

// Fault describes one invalid setting. Its JSON form is part of the
// administration API's responses.
type Fault struct {
	// File is the name of the settings file.
	File string `json:"file"`
	// Section is the section's name; it is empty if the fault concerns the whole
	// file.
	Section string `json:"section"`
	// Key is the setting's key; it is empty if the fault concerns the whole
	// section.
	Key string `json:"key,omitempty"`
	// Value is the invalid value, if there is one.
	Value string `json:"value,omitempty"`
	// Allowed describes the allowed values.
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

// Faults is a list of faults that is returned as one error.
type Faults []Fault

// Error returns the faults, one per line.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		lines = append(lines, fault.Error())
	}
	return strings.Join(lines, "\n")
}

// OrNil returns the faults as an error, or nil if the list is empty.
func (f Faults) OrNil() error {
	if len(f) == 0 {
		return nil
	}
	return f
}
