// Package upload stores uploads that no upstream has acknowledged yet and
// delivers them later.
//
// The body is split into parts of at most PartSize bytes in the object store. A
// row of the table contains the upload's record: the request, the list of parts
// and the state of the delivery according to charts/upload.ini. An upload is
// accepted once its row is written. Any VM may deliver it while it has the lease
// of the record. A VM whose lease has expired may still complete its delivery,
// so an upload is delivered at least once, each time with the same ID.
//
// Record and StateMachine do no I/O; the current time is passed as an argument.
// Store, Spool and Deliverer connect them to the platform.
package upload
