package meter

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const moduleRoot = "../.."

// functionNames returns the functions of a folder under the names that a profile uses, without the module
// path: folder.Function, folder.Type.Method, folder.(*Type).Method.
func functionNames(t *testing.T, folder string) (names []string) {
	files, err := filepath.Glob(filepath.Join(moduleRoot, folder, "*.go"))
	must.NoError(t, err)
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.SkipObjectResolution)
		must.NoError(t, err)
		for _, declaration := range parsed.Decls {
			if function, ok := declaration.(*ast.FuncDecl); ok {
				names = append(names, folder+"."+receiverPrefix(function)+function.Name.Name)
			}
		}
	}
	return names
}

// receiverPrefix returns the receiver of a method as in functionNames, with a dot, or the empty string
// for a function.
func receiverPrefix(function *ast.FuncDecl) string {
	if function.Recv == nil {
		return ""
	}
	expression := function.Recv.List[0].Type
	pointer, isPointer := expression.(*ast.StarExpr)
	if isPointer {
		expression = pointer.X
	}
	if index, generic := expression.(*ast.IndexExpr); generic {
		expression = index.X
	}
	name, ok := expression.(*ast.Ident)
	switch {
	case !ok:
		return "?."
	case isPointer:
		return "(*" + name.Name + ")."
	}
	return name.Name + "."
}

// Every function, type and folder that activityByFunction names exists. After a rename that does not
// update the table, the CPU time of the renamed function would be counted as another activity.
func TestNamedFunctionsExist(t *testing.T) {
	var missing []string
	for _, entry := range activityByFunction {
		folder, function, named := strings.Cut(entry.prefix, ".")
		info, err := fs.Stat(os.DirFS(moduleRoot), strings.TrimSuffix(folder, "/"))
		must.NoError(t, err, must.Sprint(entry.prefix))
		must.True(t, info.IsDir(), must.Sprint(entry.prefix))
		if named {
			exists := slices.ContainsFunc(functionNames(t, folder), func(name string) bool {
				return name == folder+"."+function || strings.HasPrefix(name, folder+"."+function+".") // a type
			})
			if !exists {
				missing = append(missing, entry.prefix)
			}
		}
	}
	must.SliceEmpty(t, missing)
}

// Every folder that an activity of activityByPath or activityByFunction names as its package exists.
func TestNamedPackagesExist(t *testing.T) {
	activities := []Activity{}
	for _, activity := range activityByPath {
		activities = append(activities, activity)
	}
	for _, entry := range activityByFunction {
		activities = append(activities, entry.activity)
	}
	for _, activity := range activities {
		for _, folder := range strings.Split(activity.Package, ", ") {
			info, err := fs.Stat(os.DirFS(moduleRoot), folder)
			must.NoError(t, err, must.Sprint(activity))
			must.True(t, info.IsDir(), must.Sprint(activity))
		}
	}
}
