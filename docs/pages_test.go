// Package docs_test checks that the pages name only what exists: pages rot when code is renamed.
package docs_test

import (
	"io/fs"
	"os"
	"path"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const root = ".."

var (
	linkPattern = regexp.MustCompile(`\]\(([^)#\s]+)(?:#[^)]*)?\)`)
	pathPattern = regexp.MustCompile("`([a-z]+(?:/[a-zA-Z0-9_.-]+)+)`")
	testPattern = regexp.MustCompile(`\b((?:Test|Fuzz|Benchmark)[A-Z]\w+)`)
	funcPattern = regexp.MustCompile(`(?m)^func ((?:Test|Fuzz|Benchmark)[A-Z]\w+)\(`)
)

// filesBelow lists the files of the repository with the suffix, but for the journal, whose entries
// are kept as they were written.
func filesBelow(t *testing.T, suffix string) []string {
	var files []string
	err := filepath.WalkDir(root, func(name string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && slices.Contains([]string{".git", "journal", "target", "bin"}, entry.Name()):
			return fs.SkipDir
		case !entry.IsDir() && strings.HasSuffix(name, suffix):
			files = append(files, name)
		}
		return nil
	})
	must.NoError(t, err)
	must.Positive(t, len(files))
	return files
}

// matches gives what the pattern's first group matches in a file.
func matches(t *testing.T, file string, pattern *regexp.Regexp) []string {
	raw, err := os.ReadFile(file)
	must.NoError(t, err)
	var found []string
	for _, match := range pattern.FindAllStringSubmatch(string(raw), -1) {
		found = append(found, match[1])
	}
	return found
}

// pages lists the pages but for the changelog, which tells of earlier names.
func pages(t *testing.T) []string {
	return slices.DeleteFunc(filesBelow(t, ".md"), func(name string) bool { return path.Base(name) == "CHANGELOG.md" })
}

func TestLinksLeadSomewhere(t *testing.T) {
	for _, page := range pages(t) {
		for _, link := range matches(t, page, linkPattern) {
			if strings.Contains(link, "://") {
				continue
			}
			_, err := os.Stat(filepath.Join(filepath.Dir(page), link))
			must.NoError(t, err, must.Sprintf("%s links to %s", page, link))
		}
	}
}

// A name in code font that begins with one of the repository's folders is that of a folder, of a file,
// or of an exported identifier behind its package.
func TestNamedPathsExist(t *testing.T) {
	entries, err := os.ReadDir(root)
	must.NoError(t, err)
	folders := map[string]bool{}
	for _, entry := range entries {
		folders[entry.Name()] = entry.IsDir()
	}
	for _, page := range pages(t) {
		for _, name := range matches(t, page, pathPattern) {
			first, _, _ := strings.Cut(name, "/")
			if !folders[first] {
				continue
			}
			_, err := os.Stat(filepath.Join(root, name))
			if err != nil {
				_, err = os.Stat(filepath.Join(root, strings.TrimSuffix(name, path.Ext(name))))
			}
			must.NoError(t, err, must.Sprintf("%s names %s", page, name))
		}
	}
}

// A page may name the beginning of several tests' names.
func TestNamedTestsExist(t *testing.T) {
	var known []string
	for _, file := range filesBelow(t, "_test.go") {
		known = append(known, matches(t, file, funcPattern)...)
	}
	for _, page := range pages(t) {
		for _, name := range matches(t, page, testPattern) {
			exists := slices.ContainsFunc(known, func(test string) bool { return strings.HasPrefix(test, name) })
			must.True(t, exists, must.Sprintf("%s names %s", page, name))
		}
	}
}
