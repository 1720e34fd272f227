package platformstandin

import (
	"time"
)

// Faults are the faults of the stand-in that are switched on. Durations are in
// nanoseconds in JSON.
type Faults struct {
	// TableDown refuses every call of the table with 503.
	TableDown bool `json:"table_down"`
	// ObjectsDown refuses every call of the object store with 503.
	ObjectsDown bool `json:"objects_down"`
	// ObjectDelay holds each call of the object store this long.
	ObjectDelay time.Duration `json:"object_delay"`
	// CutObjects cuts off the next reads of objects, this many of them, in the
	// middle.
	CutObjects int `json:"cut_objects"`
	// MembershipDown refuses every call of the list with 503.
	MembershipDown bool `json:"membership_down"`
	// Delay holds each call of the table this long before it takes effect.
	Delay time.Duration `json:"delay"`
	// LoseAnswers cuts off the connection of the next transactions, this many
	// of them, after they took effect.
	LoseAnswers int `json:"lose_answers"`
	// LandLate cuts off the connection of the next transactions, this many of
	// them, at once and lets them take effect LandLateBy later.
	LandLate   int           `json:"land_late"`
	LandLateBy time.Duration `json:"land_late_by"`
	// ListLag is the age of the list of VMs that is served.
	ListLag time.Duration `json:"list_lag"`
	// WritesPerSecond limits the transactions; 0 means no limit.
	WritesPerSecond int `json:"writes_per_second"`
}
