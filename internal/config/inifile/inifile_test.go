package inifile_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/config/inifile"
	"github.com/figfront/figfront/internal/spectest"
)

func TestInifile(t *testing.T) {
	spectest.Run(t, "inifile")
}

var _ = Describe("a settings file", func() {
	read := func(content string) error {
		file, err := inifile.Parse("x.ini", []byte(content))
		if err != nil {
			return err
		}
		var duration time.Duration
		var address string
		section := file.Section("s")
		section.Duration("d", &duration, time.Second, time.Millisecond, time.Minute)
		section.RequiredAddress("a", &address)
		return file.Finish()
	}

	It("is accepted if every key is valid", func() {
		Expect(read("[s]\nd = 2s\na = 127.0.0.1:80\n")).To(Succeed())
	})

	DescribeTable("reports the file, the section, the key and the allowed values",
		func(content, want string) {
			Expect(read(content)).To(MatchError(ContainSubstring(want)))
		},
		Entry("unknown key", "[s]\na = 127.0.0.1:80\nx = 1\n", "x.ini: section [s]: key x: allowed: only the keys d, a"),
		Entry("unknown section", "[s]\na = 127.0.0.1:80\n[t]\nx = 1\n", "x.ini: section [t]: allowed: only the sections s"),
		Entry("bad duration", "[s]\nd = soon\na = 127.0.0.1:80\n", `key d: "soon" is not allowed: allowed: a duration from 1ms to 1m0s`),
		Entry("range", "[s]\nd = 2h\na = 127.0.0.1:80\n", `key d: "2h" is not allowed`),
		Entry("host name instead of an IP address", "[s]\na = localhost:80\n", "an IP number and a port"),
		Entry("missing", "[s]\nd = 1s\n", "key a: allowed: has to be given"),
		Entry("twice", "[s]\na = 127.0.0.1:80\na = 127.0.0.1:81\n", "the key only once"),
		Entry("invalid INI", "[s\n", "INI sections"),
	)
})
