// Package upload keeps uploads that no upstream has acknowledged yet.
//
// A body is cut into parts of at most PartSize bytes in the object store; a row
// of the table names the parts and holds the state of the delivery along the
// chart upload.ini. An upload counts as accepted once its row is written. Any
// VM may deliver it under a lease. A holder whose lease has lapsed may deliver
// once more, with the same id, so a delivery happens at least once.
//
// The record and its transitions do no I/O and take the time as an argument.
// Store, Spool and Deliverer connect them to the platform.
package upload
