package docs_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

func read(t *testing.T, path string) string {
	t.Helper()
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(content)
}

func parse(t *testing.T, path string) *ast.File {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	return file
}

// TestEveryReasonIsExplained checks that the operators' page explains each Reason of
// internal/outcome and no other one.
func TestEveryReasonIsExplained(t *testing.T) {
	g := NewWithT(t)
	page := read(t, "operators/refusals.md")
	reasons := map[string]bool{}
	ast.Inspect(parse(t, "../internal/outcome/outcome.go"), func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || len(spec.Values) != 1 {
			return true
		}
		if kind, ok := spec.Type.(*ast.Ident); ok && kind.Name == "Reason" {
			word, err := strconv.Unquote(spec.Values[0].(*ast.BasicLit).Value)
			g.Expect(err).NotTo(HaveOccurred())
			reasons[word] = true
			g.Expect(page).To(ContainSubstring("| `"+word+"` |"), "the page does not explain this reason")
		}
		return true
	})
	g.Expect(reasons).NotTo(BeEmpty())
	for _, row := range regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\|").FindAllStringSubmatch(page, -1) {
		g.Expect(reasons).To(HaveKey(row[1]), "the page explains a reason that does not exist in the code")
	}
}

// settingsReaders are the methods of inifile.Section whose first argument is the key
// of a setting.
var settingsReaders = map[string]bool{
	"String": true, "RequiredName": true, "OneOf": true, "Bool": true, "Int": true, "Float": true,
	"Duration": true, "Address": true, "RequiredAddress": true, "Addresses": true, "Words": true,
}

// TestEverySettingIsExplained checks that the operators' page mentions each key that
// the configuration packages read.
func TestEverySettingIsExplained(t *testing.T) {
	g := NewWithT(t)
	page := read(t, "operators/settings.md")
	keys := 0
	for _, dir := range []string{"static", "dynamic"} {
		files, err := filepath.Glob("../internal/config/" + dir + "/*.go")
		g.Expect(err).NotTo(HaveOccurred())
		for _, file := range files {
			ast.Inspect(parse(t, file), func(n ast.Node) bool {
				key, ok := settingKey(n)
				if ok {
					keys++
					g.Expect(page).To(ContainSubstring("`"+key+"`"), "the page does not explain this setting")
				}
				return true
			})
		}
	}
	g.Expect(keys).To(BeNumerically(">", 20))
}

// settingKey returns the key that n reads, if n is a call of a method in
// settingsReaders with a literal key.
func settingKey(n ast.Node) (string, bool) {
	call, ok := n.(*ast.CallExpr)
	if !ok || len(call.Args) < 2 {
		return "", false
	}
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || !settingsReaders[method.Sel.Name] {
		return "", false
	}
	literal, ok := call.Args[0].(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		return "", false
	}
	key, err := strconv.Unquote(literal.Value)
	return key, err == nil
}

// TestLinksResolve checks that the target of each relative link in the pages
// exists.
func TestLinksResolve(t *testing.T) {
	g := NewWithT(t)
	link := regexp.MustCompile(`\]\(([^)#:]+)(#[^)]*)?\)`)
	pages, err := filepath.Glob("*.md")
	g.Expect(err).NotTo(HaveOccurred())
	for _, dir := range []string{"operators", "decisions", "proofs"} {
		more, err := filepath.Glob(dir + "/*.md")
		g.Expect(err).NotTo(HaveOccurred())
		pages = append(pages, more...)
	}
	pages = append(pages, "../README.md", "../CONTRIBUTING.md")
	for _, page := range pages {
		for _, found := range link.FindAllStringSubmatch(read(t, page), -1) {
			target := filepath.Join(filepath.Dir(page), strings.TrimSpace(found[1]))
			_, err := os.Stat(target)
			g.Expect(err).NotTo(HaveOccurred(), "%s links to %s", page, found[1])
		}
	}
}

// TestNamedChecksExist checks that each test, fuzz test and benchmark that the pages on
// proofs name exists in the code.
func TestNamedChecksExist(t *testing.T) {
	g := NewWithT(t)
	var tests strings.Builder
	err := filepath.WalkDir("..", func(path string, _ fs.DirEntry, err error) error {
		if err == nil && strings.HasSuffix(path, "_test.go") {
			tests.WriteString(read(t, path))
		}
		return err
	})
	g.Expect(err).NotTo(HaveOccurred())
	pages, err := filepath.Glob("proofs/*.md")
	g.Expect(err).NotTo(HaveOccurred())
	named := regexp.MustCompile("`(?:[a-z]+\\.)?((?:Test|Fuzz|Benchmark)[A-Za-z0-9]+)`")
	found := 0
	for _, page := range append(pages, "PROOFS.md") {
		for _, check := range named.FindAllStringSubmatch(read(t, page), -1) {
			found++
			g.Expect(tests.String()).To(ContainSubstring("func "+check[1]+"("), "%s names a test that does not exist", page)
		}
	}
	g.Expect(found).To(BeNumerically(">", 100))
}
