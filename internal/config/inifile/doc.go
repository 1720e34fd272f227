// Package inifile reads INI settings against a declared set of sections and
// keys and collects every fault it finds.
//
// A reader asks for each key with its default and its bounds; what the file
// holds beyond that is reported as unknown. All faults are collected, so that
// an operator sees the whole list at once:
//
//	file, err := inifile.Load("gateway.ini")
//	section := file.Section("gateway")
//	section.Duration("deadline", &deadline, 800*time.Millisecond, time.Millisecond, time.Minute)
//	faults := file.Finish()
package inifile
