// Package chart reads state charts from files, checks them and runs machines
// on them.
//
//	chart, err := chart.Load(charts.Files, "process.ini")
//	machine := chart.NewMachine()
//	state, err := machine.Fire("configured")
package chart
