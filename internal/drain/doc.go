// Package drain decides what becomes of the calls of a process that has been asked to stop: which of
// them it may still send to an upstream, and when those that are still open are ended. A call that is
// cut off has no answer, and may have run without its caller knowing. One that was refused has not run
// and is served by another VM; one that was ended gets an answer that says what is known of it.
package drain
