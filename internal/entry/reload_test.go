package entry

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/config/static"
)

// settings returns the content of a settings file with the given store address.
func settings(store string) string {
	return `
[vm]
name = vm-1
zone = z
[entry]
listen = 10.0.0.1:1
ready = 10.0.0.1:2
operators = 10.0.0.1:3
exchange = 10.0.0.1:4
store = ` + store + "\n"
}

// TestReload covers an unchanged file, a changed one, invalid settings, a missing
// file and a return to the original content.
func TestReload(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "entry.ini")
	write := func(content string) {
		g.Expect(os.WriteFile(path, []byte(content), 0o600)).To(Succeed())
	}
	write(settings("10.0.0.9:1"))
	var applied []string
	r, err := newReloader(path, hclog.NewNullLogger(), func(s *static.Entry) { applied = append(applied, s.Store) })
	g.Expect(err).NotTo(HaveOccurred())
	r.check()
	g.Expect(applied).To(BeEmpty(), "the file has not changed")
	write(settings("10.0.0.9:2"))
	r.check()
	g.Expect(applied).To(Equal([]string{"10.0.0.9:2"}))
	write("[entry]\nlisten = nowhere\n")
	r.check()
	g.Expect(os.Remove(path)).To(Succeed())
	r.check()
	g.Expect(applied).To(HaveLen(1), "invalid or missing settings leave the active ones unchanged")
	write(settings("10.0.0.9:1"))
	r.check()
	g.Expect(applied).To(Equal([]string{"10.0.0.9:2", "10.0.0.9:1"}))
}
