// Package capacity measures how the state, the messages and the processor time
// of figfront's roles grow, and fits a line to each.
//
// The figures are those of one machine. docs/CAPACITY.md extrapolates them;
// `make capacity` measures them anew.
package capacity
