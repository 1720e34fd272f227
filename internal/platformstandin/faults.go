package platformstandin

import (
	"time"
)

// Faults are the active faults of the stand-in; the zero value has none.
// Durations are in nanoseconds in JSON.
type Faults struct {
	// TableDown makes every request to the table fail with 503.
	TableDown bool `json:"table_down"`
	// ObjectsDown makes every request to the object store fail with 503.
	ObjectsDown bool `json:"objects_down"`
	// ObjectDelay delays each request to the object store.
	ObjectDelay time.Duration `json:"object_delay"`
	// CutObjects is the number of upcoming reads of objects whose connection is
	// closed after half of the body.
	CutObjects int `json:"cut_objects"`
	// MembershipDown makes every request for the list of VMs fail with 503.
	MembershipDown bool `json:"membership_down"`
	// Delay delays each request to the table before it is applied.
	Delay time.Duration `json:"delay"`
	// LoseResponses is the number of upcoming transactions that are applied but whose
	// connection is closed without a response.
	LoseResponses int `json:"lose_answers"`
	// ApplyLate is the number of upcoming transactions whose connection is closed at
	// once without a response and that are applied only after ApplyLateBy. It
	// takes precedence over LoseResponses.
	ApplyLate int `json:"land_late"`
	// ApplyLateBy is how late the transactions counted by ApplyLate are applied.
	ApplyLateBy time.Duration `json:"land_late_by"`
	// ListLag is the age of the list of VMs that is served.
	ListLag time.Duration `json:"list_lag"`
	// WritesPerSecond limits the transactions in each second of Unix time;
	// further ones fail with 429. 0 means no limit.
	WritesPerSecond int `json:"writes_per_second"`
}
