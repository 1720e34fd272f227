// Package capacity measures how the memory, the messages and the CPU time of
// figfront's roles (gateway, agent and admin) grow with the load, and fits a line to
// each series of measurements.
//
// The results hold for the machine that they were measured on. docs/CAPACITY.md
// extrapolates them; `make capacity` repeats the measurements.
package capacity
