package exchange

// Report is what a gateway tells its agent about itself.
type Report struct {
	// Revisions holds the revision in force of each team.
	Revisions []TeamRevision `json:"revisions"`
	// Rejected holds the revisions whose settings the gateway can't read; what
	// was in force before stays.
	Rejected []TeamRevision `json:"rejected,omitempty"`
}

// TeamRevision is a revision of a team.
type TeamRevision struct {
	Team     string `json:"team"`
	Revision uint64 `json:"revision"`
}
