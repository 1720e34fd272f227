package callheader_test

import (
	"net/http"
	"testing"

	"github.com/figfront/figfront/internal/callheader"
)

// FuzzParseReport checks that a report is either rejected, or within its bounds
// and unchanged by formatting and parsing it again.
func FuzzParseReport(f *testing.F) {
	f.Add("running=1,queued=2")
	f.Add("running=-1,queued=2")
	f.Add("running=99999999999999999999,queued=")
	f.Fuzz(func(t *testing.T, value string) {
		report, ok := callheader.ParseReport(value)
		if !ok {
			return
		}
		if report.Running < 0 || report.Queued < 0 || report.Running > 1<<20 || report.Queued > 1<<20 {
			t.Fatalf("%q: %+v", value, report)
		}
		if again, ok := callheader.ParseReport(report.String()); !ok || again != report {
			t.Fatalf("%q: %+v", value, again)
		}
	})
}

// FuzzParseDeadline checks that a deadline is either rejected, or unchanged by
// formatting and parsing it again.
func FuzzParseDeadline(f *testing.F) {
	f.Add("1767225600000")
	f.Add("-1")
	f.Add("9223372036854775807")
	f.Fuzz(func(t *testing.T, value string) {
		deadline, ok := callheader.ParseDeadline(http.Header{callheader.Deadline: {value}})
		if !ok {
			return
		}
		h := http.Header{}
		callheader.SetDeadline(h, deadline)
		if again, ok := callheader.ParseDeadline(h); !ok || !again.Equal(deadline) {
			t.Fatalf("%q: %v, %v", value, deadline, again)
		}
	})
}
