// Package chart implements state machines whose states and transitions are
// defined in files. It loads the definitions, called charts, validates them and
// runs machines on them. Package charts documents the file format.
//
//	chart, err := chart.Load(charts.Files, "process.ini")
//	machine := chart.NewMachine()
//	state, err := machine.Fire("configured")
package chart
