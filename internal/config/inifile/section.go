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

// namePattern is what the names of VMs, zones, teams, services and upstreams
// may look like.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// nameAllowed describes namePattern for operators.
const nameAllowed = "1 to 63 of a-z, 0-9 and -, with no - at either end"

// IsName tells whether s may name a VM, zone, team, service or upstream.
func IsName(s string) bool {
	return namePattern.MatchString(s)
}

// Section reads the keys of one section.
type Section struct {
	file  *File
	name  string
	keys  *ini.Section
	asked []string
}

// Name returns the section's name.
func (s *Section) Name() string {
	return s.name
}

// Fault records a fault of one of the section's keys.
func (s *Section) Fault(key, value, allowed string) {
	s.file.AddFault(s.name, key, value, allowed)
}

// IsSet tells whether the file holds the key. It doesn't count as reading it.
func (s *Section) IsSet(key string) bool {
	return s.keys != nil && s.keys.HasKey(key)
}

// lookup returns the key's value and whether the file holds it. A key that
// stands twice is a fault.
func (s *Section) lookup(key string) (string, bool) {
	s.asked = append(s.asked, key)
	if !s.IsSet(key) {
		return "", false
	}
	values := s.keys.Key(key).ValueWithShadows()
	if len(values) > 1 {
		s.Fault(key, strings.Join(values, ", "), "the key only once in its section")
	}
	return s.keys.Key(key).Value(), true
}

// String reads free text of at most maxLen bytes; def stands for an absent key.
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

// RequiredName reads a name that has to be there.
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

// OneOf reads one of the allowed words; def stands for an absent key.
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

// Bool reads true or false; def stands for an absent key.
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

// Int reads a whole number from low to high; def stands for an absent key.
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

// Float reads a number from low to high; def stands for an absent key.
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

// Duration reads a duration from low to high; def stands for an absent key.
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

// addressAllowed describes an address for operators.
const addressAllowed = "an IP number and a port, such as 127.0.0.1:8080"

// Address reads an address of the form IP:port; def stands for an absent key.
func (s *Section) Address(key string, dst *string, def string) {
	value, ok := s.lookup(key)
	if !ok {
		*dst = def
		return
	}
	s.checkAddress(key, value, dst)
}

// RequiredAddress reads an address of the form IP:port that has to be there.
func (s *Section) RequiredAddress(key string, dst *string) {
	value, ok := s.lookup(key)
	if !ok {
		s.Fault(key, "", "has to be given: "+addressAllowed)
		return
	}
	s.checkAddress(key, value, dst)
}

func (s *Section) checkAddress(key, value string, dst *string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		s.Fault(key, value, addressAllowed)
		return
	}
	*dst = value
}

// Addresses reads a comma-separated list of addresses; an absent key reads as
// an empty list.
func (s *Section) Addresses(key string, dst *[]string) {
	for _, value := range s.list(key) {
		var address string
		s.checkAddress(key, value, &address)
		if address != "" {
			*dst = append(*dst, address)
		}
	}
}

// Words reads a comma-separated list whose entries are each one of allowed;
// def stands for an absent key.
func (s *Section) Words(key string, dst *[]string, def []string, allowed ...string) {
	if !s.IsSet(key) {
		s.asked = append(s.asked, key)
		*dst = def
		return
	}
	for _, value := range s.list(key) {
		if !slices.Contains(allowed, value) {
			s.Fault(key, value, "a list of "+strings.Join(allowed, ", "))
			continue
		}
		*dst = append(*dst, value)
	}
}

func (s *Section) list(key string) []string {
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

// Keys returns the keys that the file holds in this section.
func (s *Section) Keys() []string {
	if s.keys == nil {
		return nil
	}
	return s.keys.KeyStrings()
}

// Any reads a key whose name is free, such as the team names of a token list.
func (s *Section) Any(key string) string {
	value, _ := s.lookup(key)
	return value
}

func (s *Section) reportUnknownKeys() {
	for _, key := range s.Keys() {
		if !slices.Contains(s.asked, key) {
			s.Fault(key, "", "only the keys "+strings.Join(s.asked, ", "))
		}
	}
}
