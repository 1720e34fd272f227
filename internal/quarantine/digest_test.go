package quarantine_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/quarantine"
)

func identityOf(head quarantine.Head, parts ...string) quarantine.Identity {
	hasher := quarantine.NewHasher(head)
	for _, part := range parts {
		_, _ = hasher.Write([]byte(part))
	}
	return hasher.Identity()
}

func TestIdentityDiffersWithEachFieldAndTheBody(t *testing.T) {
	g := NewWithT(t)
	head := quarantine.Head{Method: "POST", Host: "h", Path: "/p?q=1", Caller: "10.0.0.1"}
	exact := map[quarantine.Digest]string{identityOf(head, "body").Exact: "itself"}
	for name, change := range map[string]func(*quarantine.Head){
		"method": func(h *quarantine.Head) { h.Method = "PUT" },
		"host":   func(h *quarantine.Head) { h.Host = "h2" },
		"query":  func(h *quarantine.Head) { h.Path = "/p?q=2" },
		"caller": func(h *quarantine.Head) { h.Caller = "10.0.0.2" },
		"moved":  func(h *quarantine.Head) { h.Host, h.Path = "h/", "p?q=1" },
	} {
		other := head
		change(&other)
		id := identityOf(other, "body")
		g.Expect(exact).NotTo(HaveKey(id.Exact), name)
		exact[id.Exact] = name
		isSame := id.AnyCaller == identityOf(head, "body").AnyCaller
		g.Expect(isSame).To(Equal(name == "caller"), name)
	}
	g.Expect(exact).NotTo(HaveKey(identityOf(head, "bodz").Exact))
	g.Expect(exact).NotTo(HaveKey(identityOf(head, "body").AnyCaller))
}

func TestIdentityIsTheSameOnAllVMsAndHoweverTheBodyArrives(t *testing.T) {
	g := NewWithT(t)
	head := quarantine.Head{Method: "POST", Host: "h", Path: "/p", Caller: "10.0.0.1"}
	id := identityOf(head, "whole body")
	g.Expect(identityOf(head, "whole", " ", "body")).To(Equal(id))
	g.Expect(id.Exact.String()).To(Equal("abe4e012c8ba4bdfcd05503238ee16a0"))
	g.Expect(id.AnyCaller.String()).To(Equal("db9ac7593b9aac0154f301d303c968bc"))
	g.Expect(quarantine.ParseHexDigest(id.Exact.String())).To(Equal(id.Exact))
	g.Expect(quarantine.ParseHexDigest("no digest").IsZero()).To(BeTrue())
	g.Expect(quarantine.ParseDigest([]byte{1}).IsZero()).To(BeTrue())
}
