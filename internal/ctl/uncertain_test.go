package ctl_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/admin"
	"github.com/figfront/figfront/internal/config/static"
	"github.com/figfront/figfront/internal/ctl"
	"github.com/figfront/figfront/internal/platform"
	"github.com/figfront/figfront/internal/telemetry"
)

// cutOffTable has no rows and answers nothing from its first transaction on.
type cutOffTable struct {
	platform.Table
	isCutOff bool
}

func (c *cutOffTable) Commit(context.Context, platform.Transaction) error {
	c.isCutOff = true
	return platform.ErrUncertain
}

func (c *cutOffTable) Get(context.Context, string) (platform.Row, error) {
	if c.isCutOff {
		return platform.Row{}, platform.ErrUncertain
	}
	return platform.Row{}, platform.ErrNotFound
}

func TestUncertainChangeIsNotAnsweredAsNotDone(t *testing.T) {
	g := NewWithT(t)
	hash := sha256.Sum256([]byte("token"))
	server := httptest.NewServer(admin.New(admin.Options{
		Tokens: []static.Token{{Team: "asocrank", SHA256: hex.EncodeToString(hash[:])}},
		Table:  &cutOffTable{}, Log: hclog.NewNullLogger(), Counters: telemetry.NewCounters(),
	}).Handler())
	defer server.Close()
	client := ctl.NewClient(server.URL, "asocrank", "token", "aki")
	_, err := client.Apply(context.Background(), ctl.Change{ID: "a", Settings: settings(1)})
	var refused *ctl.RefusedError
	g.Expect(errors.As(err, &refused)).To(BeTrue())
	g.Expect(refused.Problem.Type).To(HaveSuffix("change_uncertain"))
	g.Expect(refused.Problem.Status).To(Equal(http.StatusGatewayTimeout))
	g.Expect(err.Error()).NotTo(HavePrefix("refused"))
}
