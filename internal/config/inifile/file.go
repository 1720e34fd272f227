package inifile

import (
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/go-faster/errors"
	"gopkg.in/ini.v1"
)

// MaxBytes is the maximum size of a settings file, in bytes.
const MaxBytes = 4 << 20

// noChildDelimiter disables the library's inheritance of keys between sections
// whose names share a prefix.
const noChildDelimiter = "\x00"

// File is a parsed settings file with the faults found so far. It is not safe for
// concurrent use.
type File struct {
	name   string
	parsed *ini.File
	// declared holds the names that were passed to Section, and readers the Sections
	// that it returned.
	declared []string
	readers  []*Section
	faults   Faults
}

// Load reads and parses the settings file at path. It returns Faults if the file is
// too large or is not valid INI, and another error if it can't be read.
func Load(path string) (*File, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, errors.Wrap(err, "stat settings file")
	}
	if info.Size() > MaxBytes {
		return nil, Faults{{File: path, Allowed: fmt.Sprintf("at most %d bytes", MaxBytes)}}
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings file")
	}
	return Parse(path, content)
}

// Parse parses settings from content; name is the file name used in faults. It
// returns Faults if content is too large or is not valid INI.
func Parse(name string, content []byte) (*File, error) {
	if len(content) > MaxBytes {
		return nil, Faults{{File: name, Allowed: fmt.Sprintf("at most %d bytes", MaxBytes)}}
	}
	options := ini.LoadOptions{
		ChildSectionDelimiter: noChildDelimiter,
		AllowShadows:          true,
		IgnoreInlineComment:   true,
	}
	parsed, err := ini.LoadSources(options, content)
	if err != nil {
		line := strings.ReplaceAll(err.Error(), "\n", " ")
		return nil, Faults{{File: name, Value: line, Allowed: "INI sections and key = value lines"}}
	}
	return &File{name: name, parsed: parsed}, nil
}

// Has reports whether the file contains the section.
func (f *File) Has(section string) bool {
	return f.parsed.HasSection(section)
}

// Sections returns the sorted names of the file's sections. The library's default
// section, for keys before the first section header, is left out if it is empty.
func (f *File) Sections() []string {
	var names []string
	for _, section := range f.parsed.Sections() {
		if section.Name() == ini.DefaultSection && len(section.Keys()) == 0 {
			continue
		}
		names = append(names, section.Name())
	}
	slices.Sort(names)
	return names
}

// Section declares the named section and returns a reader for it. A section that is
// missing in the file is treated as empty.
func (f *File) Section(name string) *Section {
	f.declared = append(f.declared, name)
	section := &Section{file: f, name: name}
	if f.parsed.HasSection(name) {
		section.ini = f.parsed.Section(name)
	}
	f.readers = append(f.readers, section)
	return section
}

// AddFault records a fault; section, key and value may be empty.
func (f *File) AddFault(section, key, value, allowed string) {
	fault := Fault{File: f.name, Section: section, Key: key, Value: value, Allowed: allowed}
	f.faults = append(f.faults, fault)
}

// Finish records a fault for each section and key that was not declared. It returns
// all faults as Faults, or nil if there are none. It must be called once, after all
// settings have been read.
func (f *File) Finish() error {
	for _, name := range f.Sections() {
		if !slices.Contains(f.declared, name) {
			f.AddFault(name, "", "", "only the sections "+strings.Join(f.declared, ", "))
		}
	}
	for _, section := range f.readers {
		section.reportUnknownKeys()
	}
	return f.faults.OrNil()
}
