package suspectstore

import (
	"strconv"
	"strings"

	"github.com/figfront/figfront/internal/platform"
	"github.com/figfront/figfront/internal/quarantine"
)

// trialPart separates the number of a trial from the key of its request.
const trialPart = "/trial-"

// keyOf returns the key of a request's row.
func keyOf(service string, digest quarantine.Digest) string {
	return service + "/" + digest.String()
}

// trialKeyOf returns the key of the row that reserves a trial.
func trialKeyOf(service string, trial quarantine.Trial) string {
	return keyOf(service, trial.Digest) + trialPart + strconv.Itoa(trial.Number)
}

// decodeRow returns the service and the record of a row. The second result is false for a row
// that reserves a trial.
func decodeRow(row platform.Row) (service string, record quarantine.Record, isRecord bool, err error) {
	if strings.Contains(row.Key, trialPart) {
		return "", quarantine.Record{}, false, nil
	}
	service, digest, _ := strings.Cut(row.Key, "/")
	record, err = quarantine.Decode(quarantine.ParseHexDigest(digest), row.Value)
	return service, record, true, err
}

// rowsOf returns the rows to write and the keys to delete for changes of a service. With a
// request its trials are deleted.
func rowsOf(service string, changes quarantine.Changes) (writes []platform.Row, deletions []string, err error) {
	for _, r := range changes.Writes {
		value, err := r.Encode()
		if err != nil {
			return nil, nil, err
		}
		writes = append(writes, platform.Row{Key: keyOf(service, r.Digest), Value: value})
	}
	for _, digest := range changes.Deletes {
		deletions = append(deletions, keyOf(service, digest))
		for number := range quarantine.MaxLateSends {
			deletions = append(deletions, trialKeyOf(service, quarantine.Trial{Digest: digest, Number: number + 1}))
		}
	}
	return writes, deletions, nil
}
