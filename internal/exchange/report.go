package exchange

// GatewayReport is what a gateway reports about itself to its agent.
type GatewayReport struct {
	// Revisions holds the active revision of each team.
	Revisions []TeamRevision `json:"revisions"`
	// Rejected holds the revisions whose settings the gateway could not decode; the
	// previous ones stay active.
	Rejected []TeamRevision `json:"rejected,omitempty"`
}

// TeamRevision identifies a revision of a team's settings.
type TeamRevision struct {
	Team     string `json:"team"`
	Revision uint64 `json:"revision"`
}
