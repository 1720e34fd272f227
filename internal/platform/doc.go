// Package platform is the client of the platform's services: a transactional
// table, an object store and the list of VMs.
//
// The table's answer can be lost after a write has taken effect. A call whose
// answer is lost returns an error for which IsUncertain holds; the caller
// settles it by reading back the row it meant to write.
package platform
