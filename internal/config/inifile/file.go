package inifile

import (
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/go-faster/errors"
	"gopkg.in/ini.v1"
)

// MaxBytes is the largest settings file that is read, in bytes.
const MaxBytes = 4 << 20

// noChildDelimiter switches off the library's inheritance between sections
// whose names share a prefix.
const noChildDelimiter = "\x00"

// File is a parsed settings file together with the faults found so far.
type File struct {
	name   string
	parsed *ini.File
	asked  []string
	open   []*Section
	faults Faults
}

// Load reads the settings file at path. It returns an error when the file
// can't be read and Faults when it is not INI.
func Load(path string) (*File, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, errors.Wrap(err, "find settings file")
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

// Parse reads settings from content; name stands for the file in faults. It
// returns Faults when content is not INI.
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

// Has tells whether the file holds the section.
func (f *File) Has(section string) bool {
	return f.parsed.HasSection(section)
}

// Sections returns the names of the sections that hold settings, sorted.
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

// Section returns a reader of the named section. A section that the file
// lacks reads as an empty one.
func (f *File) Section(name string) *Section {
	f.asked = append(f.asked, name)
	section := &Section{file: f, name: name}
	if f.parsed.HasSection(name) {
		section.keys = f.parsed.Section(name)
	}
	f.open = append(f.open, section)
	return section
}

// AddFault records a fault that the caller found by itself.
func (f *File) AddFault(section, key, value, allowed string) {
	fault := Fault{File: f.name, Section: section, Key: key, Value: value, Allowed: allowed}
	f.faults = append(f.faults, fault)
}

// Finish adds a fault for each section and key that nobody asked for and
// returns all faults, or nil.
func (f *File) Finish() error {
	for _, name := range f.Sections() {
		if !slices.Contains(f.asked, name) {
			f.AddFault(name, "", "", "only the sections "+strings.Join(f.asked, ", "))
		}
	}
	for _, section := range f.open {
		section.reportUnknownKeys()
	}
	return f.faults.OrNil()
}
