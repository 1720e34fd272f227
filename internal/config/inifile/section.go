package inifile

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// namePattern matches valid names of VMs, zones, teams, services and upstreams.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// nameAllowed describes namePattern in faults.
const nameAllowed = "1 to 63 of a-z, 0-9 and -, with no - at either end"

// IsName reports whether s is a valid name of a VM, zone, team, service or upstream.
func IsName(s string) bool {
	return namePattern.MatchString(s)
}

// Section reads the settings of one section. Its methods declare a key, parse and
// check its value and store the value in dst. An invalid or missing required value
// is recorded as a fault of the file and leaves dst unchanged. Bounds are inclusive.
// def is the default for a key that is absent; it is not checked against the bounds.
type Section struct {
	file *File
	name string
	// ini is nil if the file does not contain the section.
	ini *ini.Section
	// declared holds the names of the keys that were read.
	declared []string
}

// Name returns the section's name without brackets.
func (s *Section) Name() string {
	return s.name
}

// Fault records a fault of a key of the section, or of the whole section if key
// is empty.
func (s *Section) Fault(key, value, allowed string) {
	s.file.AddFault(s.name, key, value, allowed)
}

// IsSet reports whether the file contains the key. It does not declare the key.
func (s *Section) IsSet(key string) bool {
	return s.ini != nil && s.ini.HasKey(key)
}

// lookup declares the key and returns its value and whether the file contains it.
// It records a fault if the key occurs more than once in the section.
func (s *Section) lookup(key string) (string, bool) {
	s.declared = append(s.declared, key)
	if !s.IsSet(key) {
		return "", false
	}
	values := s.ini.Key(key).ValueWithShadows()
	if len(values) > 1 {
		s.Fault(key, strings.Join(values, ", "), "the key only once in its section")
	}
	return s.ini.Key(key).Value(), true
}

// String reads free text of at most maxLen bytes.
func (s *Section) String(key string, dst *string, def string, maxLen int) {
	value, ok := s.lookup(key)
	if !ok {
		*dst = def
		return
	}
	if len(value) > maxLen {
		s.Fault(key, value, fmt.Sprintf("at most %d bytes", maxLen))
		return
	}
	*dst = value
}

// RequiredName reads a required name; IsName defines which names are valid.
func (s *Section) RequiredName(key string, dst *string) {
	value, ok := s.lookup(key)
	if !ok {
		s.Fault(key, "", "a name has to be given: "+nameAllowed)
		return
	}
	if !IsName(value) {
		s.Fault(key, value, nameAllowed)
		return
	}
	*dst = value
}

// OneOf reads one of the allowed words.
func (s *Section) OneOf(key string, dst *string, def string, allowed ...string) {
	value, ok := s.lookup(key)
	if !ok {
		*dst = def
		return
	}
	if !slices.Contains(allowed, value) {
		s.Fault(key, value, "one of "+strings.Join(allowed, ", "))
		return
	}
	*dst = value
}

// Bool reads true or false.
func (s *Section) Bool(key string, dst *bool, def bool) {
	value, ok := s.lookup(key)
	if !ok {
		*dst = def
		return
	}
	switch value {
	case "true":
		*dst = true
	case "false":
		*dst = false
	default:
		s.Fault(key, value, "true or false")
	}
}

// Int reads an integer from low to high.
func (s *Section) Int(key string, dst *int, def, low, high int) {
	value, ok := s.lookup(key)
	if !ok {
		*dst = def
		return
	}
	number, err := strconv.Atoi(value)
	if err != nil || number < low || number > high {
		s.Fault(key, value, fmt.Sprintf("a whole number from %d to %d", low, high))
		return
	}
	*dst = number
}

// Float reads a floating-point number from low to high; NaN is not allowed.
func (s *Section) Float(key string, dst *float64, def, low, high float64) {
	value, ok := s.lookup(key)
	if !ok {
		*dst = def
		return
	}
	number, err := strconv.ParseFloat(value, 64)
	if err != nil || !(number >= low && number <= high) {
		s.Fault(key, value, fmt.Sprintf("a number from %g to %g", low, high))
		return
	}
	*dst = number
}

// Duration reads a duration from low to high in the syntax of time.ParseDuration.
func (s *Section) Duration(key string, dst *time.Duration, def, low, high time.Duration) {
	value, ok := s.lookup(key)
	if !ok {
		*dst = def
		return
	}
	duration, err := time.ParseDuration(value)
	if err != nil || duration < low || duration > high {
		s.Fault(key, value, fmt.Sprintf("a duration from %s to %s, such as 250ms", low, high))
		return
	}
	*dst = duration
}

// addressAllowed describes a valid address in faults.
const addressAllowed = "an IP number and a port, such as 127.0.0.1:8080"

// Address reads an address of the form IP:port.
func (s *Section) Address(key string, dst *string, def string) {
	value, ok := s.lookup(key)
	if !ok {
		*dst = def
		return
	}
	s.parseAddress(key, value, dst)
}

// IP reads an optional IP address; an absent key leaves dst as it is.
func (s *Section) IP(key string, dst *string) {
	value, ok := s.lookup(key)
	if !ok {
		return
	}
	if _, err := netip.ParseAddr(value); err != nil {
		s.Fault(key, value, "an IP address")
		return
	}
	*dst = value
}

// RequiredAddress reads a required address of the form IP:port.
func (s *Section) RequiredAddress(key string, dst *string) {
	value, ok := s.lookup(key)
	if !ok {
		s.Fault(key, "", "has to be given: "+addressAllowed)
		return
	}
	s.parseAddress(key, value, dst)
}

// parseAddress stores value in dst if it has the form IP:port, and records a fault
// otherwise.
func (s *Section) parseAddress(key, value string, dst *string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		s.Fault(key, value, addressAllowed)
		return
	}
	*dst = value
}

// Addresses appends the addresses of a comma-separated list to dst and records a
// fault for each invalid one. An absent key is an empty list.
func (s *Section) Addresses(key string, dst *[]string) {
	for _, value := range s.splitList(key) {
		var address string
		s.parseAddress(key, value, &address)
		if address != "" {
			*dst = append(*dst, address)
		}
	}
}

// Words appends the words of a comma-separated list to dst and records a fault for
// each one that is not allowed. An absent key sets dst to def.
func (s *Section) Words(key string, dst *[]string, def []string, allowed ...string) {
	if !s.IsSet(key) {
		s.declared = append(s.declared, key)
		*dst = def
		return
	}
	for _, value := range s.splitList(key) {
		if !slices.Contains(allowed, value) {
			s.Fault(key, value, "a list of "+strings.Join(allowed, ", "))
			continue
		}
		*dst = append(*dst, value)
	}
}

// splitList declares the key and returns the trimmed elements of its
// comma-separated value.
func (s *Section) splitList(key string) []string {
	value, ok := s.lookup(key)
	if !ok || value == "" {
		return nil
	}
	parts := strings.Split(value, ",")
	for i := range parts {
		parts[i] = strings.TrimSpace(parts[i])
	}
	return parts
}

// Keys returns the names of all keys of the section in the file, in file order.
func (s *Section) Keys() []string {
	if s.ini == nil {
		return nil
	}
	return s.ini.KeyStrings()
}

// Raw declares the key and returns its value unchecked, or "" if it is absent. It
// serves sections whose key names are not fixed, such as the list of tokens by team.
func (s *Section) Raw(key string) string {
	value, _ := s.lookup(key)
	return value
}

// reportUnknownKeys records a fault for each key that was not declared.
func (s *Section) reportUnknownKeys() {
	for _, key := range s.Keys() {
		if !slices.Contains(s.declared, key) {
			s.Fault(key, "", "only the keys "+strings.Join(s.declared, ", "))
		}
	}
}
