package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/quarantine"
)

// tell merges what one VM knows into what another one does.
func tell(from, to *play) {
	records, _ := from.Notices(0)
	for _, r := range records {
		to.Merge(to.now, r)
	}
}

func TestEndsThatSeveralVMsSawAddUp(t *testing.T) {
	g := NewWithT(t)
	a, b, c := newPlay(), newPlay(), newPlay()
	for i, vm := range []*play{a, b, c} {
		vm.end(deadly, fmt.Sprint("u", i))
	}
	tell(a, c)
	tell(b, c)
	tell(b, c)
	g.Expect(c.admit(deadly, quarantine.First)).To(Equal(quarantine.RefuseHeld))
	g.Expect(a.admit(deadly, quarantine.First)).To(Equal(quarantine.Allow))
	tell(c, a)
	g.Expect(a.admit(deadly, quarantine.First)).To(Equal(quarantine.RefuseHeld))
}

func TestClearIsNotUndoneByWhatOtherVMsKnewBefore(t *testing.T) {
	g := NewWithT(t)
	a, b := newPlay(), newPlay()
	for i := range quarantine.MaxEnded - 1 {
		a.end(harmless, fmt.Sprint("u", i))
	}
	tell(a, b)
	a.complete(harmless, "u9")
	tell(b, a)
	g.Expect(a.Suspects()).To(BeEmpty())
	tell(a, b)
	g.Expect(b.Suspects()).To(BeEmpty())
}

func TestNoticesTellOnlyWhatHasChanged(t *testing.T) {
	g := NewWithT(t)
	p := newPlay()
	p.end(deadly, "u0")
	first, version := p.Notices(0)
	g.Expect(first).To(HaveLen(2), "with its caller and with any")
	again, _ := p.Notices(version)
	g.Expect(again).To(BeEmpty())
	p.end(harmless, "u0")
	next, _ := p.Notices(version)
	g.Expect([]quarantine.Digest{next[0].Digest, next[1].Digest}).To(ConsistOf(harmless.Exact, harmless.AnyCaller))
}

// all is a limit on changes that takes all of them.
const all = 1000

func TestOneEndIsStoredOnlyByAVMThatNobodyElseHears(t *testing.T) {
	g := NewWithT(t)
	p := newPlay()
	p.end(deadly, "u0")
	g.Expect(p.TakeChanges(2, all).IsEmpty()).To(BeTrue())
	g.Expect(p.TakeChanges(1, all).Writes).To(HaveLen(2))
	g.Expect(p.TakeChanges(1, all).IsEmpty()).To(BeTrue())
	p.end(deadly, "u1")
	g.Expect(p.TakeChanges(2, all).Writes).To(HaveLen(2))
}

func TestRowOfAClearedRequestIsDeleted(t *testing.T) {
	g := NewWithT(t)
	p := newPlay()
	p.complete(harmless, "u0")
	p.end(harmless, "u1")
	p.complete(harmless, "u2")
	g.Expect(p.TakeChanges(1, all).IsEmpty()).To(BeTrue(), "it was never written")
	p.end(harmless, "u3")
	p.TakeChanges(1, all)
	p.complete(harmless, "u4")
	changes := p.TakeChanges(1, all)
	g.Expect(changes.Deletes).To(ConsistOf(harmless.Exact, harmless.AnyCaller))
	p.Retake(changes)
	g.Expect(p.TakeChanges(1, all).Deletes).To(HaveLen(2), "the write failed")
}

func TestVMThatStartsLearnsHeldRequestsFromTheStore(t *testing.T) {
	g := NewWithT(t)
	p, started := newPlay(), newPlay()
	for i := range quarantine.MaxEnded {
		p.end(deadly, fmt.Sprint("u", i))
	}
	started.ApplyStored(started.now, p.TakeChanges(2, all).Writes, false)
	g.Expect(started.admit(deadly, quarantine.First)).To(Equal(quarantine.RefuseHeld))
	g.Expect(started.RetryAfter(started.now, deadly)).To(Equal(10 * time.Minute))
}

func TestDeletedRowClearsTheRequestAtAllVMs(t *testing.T) {
	g := NewWithT(t)
	p := newPlay()
	for i := range quarantine.MaxEnded {
		p.end(deadly, fmt.Sprint("u", i))
	}
	rows := p.TakeChanges(2, all).Writes
	p.ApplyStored(p.now, nil, false)
	g.Expect(p.admit(deadly, quarantine.First)).To(Equal(quarantine.RefuseHeld), "this snapshot is older than the write")
	p.ApplyStored(p.now, rows, false)
	p.ApplyStored(p.now, nil, false)
	g.Expect(p.admit(deadly, quarantine.First)).To(Equal(quarantine.Allow))
}

func TestRowThatTheStoreHasLostIsWrittenAgain(t *testing.T) {
	g := NewWithT(t)
	p := newPlay()
	for i := range quarantine.MaxEnded {
		p.end(deadly, fmt.Sprint("u", i))
	}
	p.ApplyStored(p.now, p.TakeChanges(2, all).Writes, false)
	p.ApplyStored(p.now, nil, true)
	g.Expect(p.admit(deadly, quarantine.First)).To(Equal(quarantine.RefuseHeld))
	g.Expect(p.TakeChanges(2, all).Writes).To(HaveLen(2))
}

func TestOutdatedRowOfAClearedRequestIsDeleted(t *testing.T) {
	g := NewWithT(t)
	p, other := newPlay(), newPlay()
	p.end(harmless, "u0")
	tell(p, other)
	rows := other.TakeChanges(1, all).Writes
	g.Expect(rows).To(BeEmpty(), "learned records are not written again")
	other.end(harmless, "u1")
	rows = other.TakeChanges(1, all).Writes
	p.complete(harmless, "u2")
	p.ApplyStored(p.now, rows, false)
	g.Expect(p.Suspects()).To(BeEmpty())
	g.Expect(p.TakeChanges(1, all).Deletes).To(HaveLen(2))
}

func TestRecordsSurviveTheirEncodingAndMalformedOnesAreRejected(t *testing.T) {
	g := NewWithT(t)
	r := quarantine.Record{Digest: deadly.Exact, Clears: 2, Ended: []string{"a", "b", "c"}, IsHeld: true, LateSends: 1}
	value, err := r.Encode()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(quarantine.Decode(deadly.Exact, value)).To(Equal(r))
	for _, value := range []string{"", "7", `{"ended":["1","2","3","4","5","6","7","8","9"]}`, `{"late_sends":-1}`, `{"ended":7}`} {
		_, err := quarantine.Decode(deadly.Exact, []byte(value))
		g.Expect(err).To(MatchError(quarantine.ErrMalformed), value)
	}
	_, err = quarantine.Decode(quarantine.Digest{}, value)
	g.Expect(err).To(MatchError(quarantine.ErrMalformed))
}
