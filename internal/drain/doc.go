// Package drain decides which calls a process that has been asked to stop may still send to an
// upstream. A call that is cut off at the end of the stop may have run without its caller
// knowing; one that was refused has not run and is served by another VM.
package drain
