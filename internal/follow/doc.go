// Package follow keeps a VM up to date with its data in the platform's store: the
// operators' configuration, which is read by long polling, and the upstreams'
// entries, which change with every heartbeat and are read at intervals.
//
// While the store can't be read, the last data stay in use. Data never go back to an
// older version.
package follow
