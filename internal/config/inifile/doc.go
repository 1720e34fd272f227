// Package inifile reads INI settings against a declared set of sections and
// keys.
//
// A program declares a section or key by reading it, together with its default
// value and bounds. Finish reports all sections and keys of the file that were
// not declared. Faults are collected instead of returned one by one, so that an
// operator sees all of them at once:
//
//	file, err := inifile.Load("gateway.ini")
//	section := file.Section("gateway")
//	section.Duration("deadline", &deadline, 800*time.Millisecond, time.Millisecond, time.Minute)
//	faults := file.Finish()
package inifile
