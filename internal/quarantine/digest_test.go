package quarantine_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/quarantine"
)

func digestOf(head quarantine.Head, parts ...string) quarantine.Digest {
	hasher := quarantine.NewHasher(head)
	for _, part := range parts {
		_, _ = hasher.Write([]byte(part))
	}
	return hasher.Digest()
}

func TestDigestDiffersWithEachFieldAndTheBody(t *testing.T) {
	g := NewWithT(t)
	head := quarantine.Head{Method: "POST", Host: "h", Path: "/p?q=1", Caller: "10.0.0.1"}
	digests := map[quarantine.Digest]string{digestOf(head, "body"): "itself"}
	for name, change := range map[string]func(*quarantine.Head){
		"method": func(h *quarantine.Head) { h.Method = "PUT" },
		"host":   func(h *quarantine.Head) { h.Host = "h2" },
		"query":  func(h *quarantine.Head) { h.Path = "/p?q=2" },
		"caller": func(h *quarantine.Head) { h.Caller = "10.0.0.2" },
		"moved":  func(h *quarantine.Head) { h.Host, h.Path = "h/", "p?q=1" },
	} {
		other := head
		change(&other)
		d := digestOf(other, "body")
		g.Expect(digests).NotTo(HaveKey(d), name)
		digests[d] = name
	}
	g.Expect(digests).NotTo(HaveKey(digestOf(head, "bodz")))
}

func TestDigestIsTheSameOnAllVMsAndHoweverTheBodyArrives(t *testing.T) {
	g := NewWithT(t)
	head := quarantine.Head{Method: "POST", Host: "h", Path: "/p", Caller: "10.0.0.1"}
	d := digestOf(head, "whole body")
	g.Expect(digestOf(head, "whole", " ", "body")).To(Equal(d))
	g.Expect(d.String()).To(Equal("33eac434b14ec84185ff43e792c6f892"))
	g.Expect(quarantine.ParseHexDigest(d.String())).To(Equal(d))
	g.Expect(quarantine.ParseHexDigest("no digest").IsZero()).To(BeTrue())
	g.Expect(quarantine.ParseDigest([]byte{1}).IsZero()).To(BeTrue())
}
