package main

import (
	"testing"

	"github.com/shoenig/test/must"
)

// parseCommandLine parses a command line and returns the deprecated names that the command line uses.
func parseCommandLine(t *testing.T, args ...string) (commandLine, []deprecatedName) {
	var line commandLine
	parser, err := newParser(&line)
	must.NoError(t, err)
	command, err := parser.Parse(args)
	must.NoError(t, err)
	return line, deprecatedNames(command)
}

// Command lines with a deprecated name and with the current name are parsed to the same value, and only
// the deprecated name is reported.
func TestDeprecatedNamesAreAcceptedAndReported(t *testing.T) {
	endpoint := []string{"endpoint", "--server=e", "--service=s", "--address=a", "--sidecar=b"}
	client := []string{"--address=a", "--host=h", "--service=s"}
	for name, c := range map[string]struct {
		old, current []string
		want         deprecatedName
	}{
		"settings": {[]string{"core", "--boot", "f"}, []string{"core", "--settings", "f"}, deprecatedName{"--boot", "--settings"}},
		"zone":     {[]string{"sidecar", "--district=z"}, []string{"sidecar", "--zone=z"}, deprecatedName{"--district", "--zone"}},
		"lose zone": {
			[]string{"simulate", "--lose-district"},
			[]string{"simulate", "--lose-zone"},
			deprecatedName{"--lose-district", "--lose-zone"},
		},
		"load":      {[]string{"simulate", "--burden=2"}, []string{"simulate", "--load=2"}, deprecatedName{"--burden", "--load"}},
		"lost":      {append(endpoint, "--lose=0.1"), append(endpoint, "--lost=0.1"), deprecatedName{"--lose", "--lost"}},
		"truncated": {append(endpoint, "--cut=0.1"), append(endpoint, "--truncated=0.1"), deprecatedName{"--cut", "--truncated"}},
		"client":    {append([]string{"caller"}, client...), append([]string{"client"}, client...), deprecatedName{"caller", "client"}},
		"processes": {[]string{"capacity", "--most=9"}, []string{"capacity", "--max-processes=9"}, deprecatedName{"--most", "--max-processes"}},
		"patch": {
			[]string{"apply", "-c", "a", "--part", "f"},
			[]string{"apply", "-c", "a", "--patch", "f"},
			deprecatedName{"--part", "--patch"},
		},
		"max share": {
			[]string{"rollout", "begin", "-c", "a", "--most=0.1", "r"},
			[]string{"rollout", "begin", "-c", "a", "--max-failure-share=0.1", "r"},
			deprecatedName{"--most", "--max-failure-share"},
		},
		"position": {
			[]string{"watch", "-c", "a", "--place=p"},
			[]string{"watch", "-c", "a", "--position=p"},
			deprecatedName{"--place", "--position"},
		},
		"count": {
			[]string{"watch", "-c", "a", "--rounds=3"},
			[]string{"watch", "-c", "a", "--count=3"},
			deprecatedName{"--rounds", "--count"},
		},
		"short flag": {nil, []string{"core", "-b", "f"}, deprecatedName{}},
	} {
		t.Run(name, func(t *testing.T) {
			current, reported := parseCommandLine(t, c.current...)
			must.SliceEmpty(t, reported)
			if c.old == nil {
				return
			}
			old, reported := parseCommandLine(t, c.old...)
			must.Eq(t, []deprecatedName{c.want}, reported)
			must.Eq(t, current, old)
		})
	}
}

// The deprecated name of an action is accepted, reported and converted to the current name.
func TestDeprecatedActionsAreAcceptedAndReported(t *testing.T) {
	for old, current := range renamedActions {
		command := "lock"
		if current == actionRollback {
			command = "rollout"
		}
		_, reported := parseCommandLine(t, command, old, "-c", "a", "x")
		must.Eq(t, []deprecatedName{{old, current}}, reported)
		must.Eq(t, current, currentAction(old))
		_, reported = parseCommandLine(t, command, current, "-c", "a", "x")
		must.SliceEmpty(t, reported)
		must.Eq(t, current, currentAction(current))
	}
}
