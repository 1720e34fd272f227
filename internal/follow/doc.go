// Package follow keeps a VM up to date with what the platform's store holds for
// it: the operators' configuration, which is fed, and the upstreams' entries,
// which change with every heartbeat and are polled.
//
// It goes on with what it has while the store can't be read, and never goes
// back to an older version.
package follow
