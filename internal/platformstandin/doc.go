// Package platformstandin is a small stand-in of the platform's services for
// tests and the demonstration. It keeps everything in memory and has faults
// that can be switched on: down, slow, answers lost after a write has taken
// effect, writes that land late, and a list of VMs that lags.
package platformstandin
