package retry

// Outage detection.
const (
	// outageFailureRate is the fraction of failed sends above which the whole
	// service counts as failing, so that extra sends are useless.
	outageFailureRate = 0.75
	// resultWeight is the weight of one result in the moving average of
	// failed sends.
	resultWeight = 1.0 / 50
)

// outageDetector recognizes that nearly all sends of a service fail.
type outageDetector struct {
	// failureRate is the moving average of failed sends, from 0 to 1.
	failureRate float64
}

// record records the result of a send.
func (d *outageDetector) record(ok bool) {
	sample := 1.0
	if ok {
		sample = 0
	}
	d.failureRate += resultWeight * (sample - d.failureRate)
}

// isOutage reports whether the whole service counts as failing.
func (d *outageDetector) isOutage() bool {
	return d.failureRate > outageFailureRate
}
