// Package platform defines the platform's services and a client for them: a
// transactional table, an object store and the list of VMs.
//
// The response to a write can be lost after the table has applied it. The call then
// returns an error for which IsUncertain is true. To find out whether the write was
// applied, the caller reads back the row that it wrote.
package platform
