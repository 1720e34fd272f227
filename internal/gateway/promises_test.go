package gateway_test

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"net/http"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/figfront/figfront/internal/callheader"
	"github.com/figfront/figfront/internal/outcome"
)

// statusPlaces lists the functions that choose the status of a response on the way to a caller,
// with the evidence for a status that promises that the call did not run.
var statusPlaces = map[string]string{
	"internal/gateway (Gateway).ServeHTTP":            "no configuration: nothing was sent",
	"internal/gateway (call).serveSite":               "no such status",
	"internal/gateway (call).confinePanic":            "used as an answer only if no send had begun",
	"internal/gateway (call).bodyProblem":             "the body is not in memory as a whole: nothing was sent",
	"internal/gateway (call).refuseLimit":             "not admitted: nothing was sent",
	"internal/gateway unsentAtStop":                   "asked before each send; used as an answer only if nothing was sent",
	"internal/gateway endedAtStop":                    "the outcomes of all sends",
	"internal/gateway (call).noUpstreamProblem":       "not placed: used as an answer only if nothing was sent",
	"internal/gateway (call).startSendOfKind":         "no send left: used as an answer only if nothing was sent",
	"internal/gateway (call).serveBooking":            "no such status",
	"internal/gateway claimUnavailable":               "the claim is not owned: nothing was sent",
	"internal/gateway claimProblem":                   "no such status",
	"internal/gateway (call).replay":                  "no such status",
	"internal/gateway (call).serveUpload":             "no spool: nothing was sent",
	"internal/gateway (uploadCall).refuseBody":        "no such status",
	"internal/gateway (uploadCall).refuseUndelivered": "the outcomes of all sends and of the record",
	"internal/gateway (uploadCall).acceptDuplicate":   "no such status",
	"internal/gateway (call).serveUploadStatus":       "reads the status of an upload",
	"internal/gateway (call).refuseUnknownUpload":     "no such status",
	"internal/gateway (attemptResult).problem":        "the outcomes of all sends",
	"internal/gateway (call).writeResponse":           "a response that the adapter and checkResponse accepted as one of a call that ran",
	"internal/gateway (interimForwarder).forward":     "interim responses only",
	"internal/gateway writeStatus":                    "the status of an upload, or that it is accepted",
	"internal/gateway (Gateway).UploadRoutes":         "for operators, not callers",
	"internal/process OperatorHandler":                "for operators, not callers",
	"internal/process (closingWriter).WriteHeader":    "passes a status on",
	"internal/entry (entry).clearSuspect":             "for operators, not callers",
	"internal/outcome (Problem).Write":                "replaced by WithOutcome unless the outcome is that the call did not run",
	"platform (callerResponseWriter).WriteHeader":     "passes a status on",
	"platform (callerResponseWriter).Write":           "no such status",
	"platform ReadyHandler":                           "for the platform's balancer, not callers",
}

// TestEachStatusToACallerHasItsEvidence guards against a new place that promises "not run" without
// evidence: it walks the code on the way to callers.
func TestEachStatusToACallerHasItsEvidence(t *testing.T) {
	g := NewWithT(t)
	found := make(map[string]bool)
	for _, dir := range []string{"internal/gateway", "internal/process", "internal/entry", "internal/outcome", "platform"} {
		files, err := filepath.Glob("../../" + dir + "/*.go")
		g.Expect(err).NotTo(HaveOccurred())
		for _, name := range files {
			if strings.HasSuffix(name, "_test.go") {
				continue
			}
			file, err := parser.ParseFile(token.NewFileSet(), name, nil, 0)
			g.Expect(err).NotTo(HaveOccurred())
			for _, declaration := range file.Decls {
				if f, ok := declaration.(*ast.FuncDecl); ok && choosesStatus(f) {
					found[dir+" "+functionName(f)] = true
				}
			}
		}
	}
	for place := range found {
		g.Expect(statusPlaces).To(HaveKey(place), "a place that chooses a status, without its evidence")
	}
	for place := range statusPlaces {
		g.Expect(found).To(HaveKey(place), "listed, and chooses no status any more")
	}
}

// choosesStatus reports whether a function makes a problem or writes the head of a response.
func choosesStatus(f *ast.FuncDecl) bool {
	chooses := false
	ast.Inspect(f, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok {
			return true
		}
		selector, ok := call.Fun.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		from, _ := selector.X.(*ast.Ident)
		isProblem := from != nil && from.Name == "outcome" && selector.Sel.Name == "New"
		isHead := selector.Sel.Name == "WriteHeader" || from != nil && from.Name == "http" && selector.Sel.Name == "Error"
		chooses = chooses || isProblem || isHead
		return true
	})
	return chooses
}

// functionName returns the name of a function, with its receiver's type.
func functionName(f *ast.FuncDecl) string {
	if f.Recv == nil {
		return f.Name.Name
	}
	receiver := f.Recv.List[0].Type
	if pointer, ok := receiver.(*ast.StarExpr); ok {
		receiver = pointer.X
	}
	return fmt.Sprintf("(%s).%s", receiver.(*ast.Ident).Name, f.Name.Name)
}

// promiseRecord records which calls upstreams ran, and the statuses of the answers to callers. It
// is safe for concurrent use.
type promiseRecord struct {
	mu       sync.Mutex
	ran      map[string]int
	statuses map[string]int
}

// ranUnlessShed wraps the handler of an upstream: a call runs unless the response says otherwise.
func (p *promiseRecord) ranUnlessShed(handler upstreamHandler) upstreamHandler {
	return func(env *siteTestEnv, w http.ResponseWriter, r *http.Request) {
		defer func() {
			if w.Header().Get(callheader.Shed) != "" {
				return
			}
			p.mu.Lock()
			defer p.mu.Unlock()
			p.ran[r.Header.Get(outcome.HeaderRequestID)]++
		}()
		handler(env, w, r)
	}
}

// promiseWriter records the status of an answer to a caller.
type promiseWriter struct {
	http.ResponseWriter
	onStatus func(int)
}

// WriteHeader records the status.
func (w promiseWriter) WriteHeader(status int) {
	w.onStatus(status)
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the wrapped writer for http.ResponseController.
func (w promiseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// record wraps a gateway so that the statuses of its answers are recorded.
func (p *promiseRecord) record(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(outcome.HeaderRequestID)
		next.ServeHTTP(promiseWriter{w, func(status int) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.statuses[id] = status
		}}, r)
	})
}

// promising are the statuses that promise that a call did not run and never will.
var promising = []int{
	http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest,
}

// TestCallThatIsToldAsNotRunRanNowhere plays each reason for which a site's call fails, also among
// others, and looks half a minute later which calls ran.
func TestCallThatIsToldAsNotRunRanNowhere(t *testing.T) {
	told := 0
	for reason, failing := range failedCalls() {
		t.Run(string(reason), func(t *testing.T) {
			upstream := failing.upstream
			if upstream == nil {
				upstream = respondAtOnce
			}
			p := &promiseRecord{ran: make(map[string]int), statuses: make(map[string]int)}
			withSiteTestEnv(t, p.ranUnlessShed(upstream), func(g *WithT, env *siteTestEnv) {
				env.servers = append(env.servers, env.network.Serve(gatewayAddress, p.record(env.gateway)))
				failing.play(g, env, "id-"+string(reason))
				time.Sleep(30 * time.Second)
				p.mu.Lock()
				defer p.mu.Unlock()
				g.Expect(p.statuses).NotTo(BeEmpty())
				for id, status := range p.statuses {
					if slices.Contains(promising, status) {
						told++
						g.Expect(p.ran[id]).To(BeZero(), "%s: status %d", id, status)
					}
					g.Expect(p.ran[id]).To(BeNumerically("<=", 1), "runs of %s", id)
				}
			})
		})
	}
	NewWithT(t).Expect(told).To(BeNumerically(">", len(failedCalls())/2), "calls that are told as not run")
}
