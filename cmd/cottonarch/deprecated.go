package main

import (
	"slices"
	"strings"

	"github.com/alecthomas/kong"
	"go.uber.org/zap"
)

// deprecatedName is an old name that a command line uses, and the name that replaces it.
type deprecatedName struct{ old, replacement string }

// renamedActions are the old names of actions that a command takes as its first argument.
var renamedActions = map[string]string{"back": actionRollback, "claim": actionAcquire, "pass": actionTransfer}

// deprecatedNames lists the old names of commands, flags and actions that a command line uses.
func deprecatedNames(command *kong.Context) []deprecatedName {
	var found []deprecatedName
	for node := command.Selected(); node != nil; node = node.Parent {
		for _, alias := range node.Aliases {
			if slices.Contains(command.Args, alias) {
				found = append(found, deprecatedName{alias, node.Name})
			}
		}
		for _, flag := range node.Flags {
			for _, alias := range flag.Aliases {
				if usesFlag(command.Args, alias) {
					found = append(found, deprecatedName{"--" + alias, "--" + flag.Name})
				}
			}
		}
		for _, argument := range node.Positional {
			if old, ok := argument.Target.Interface().(string); ok && argument.Name == "action" && renamedActions[old] != "" {
				found = append(found, deprecatedName{old, renamedActions[old]})
			}
		}
	}
	return found
}

func usesFlag(args []string, name string) bool {
	return slices.ContainsFunc(args, func(arg string) bool {
		return arg == "--"+name || strings.HasPrefix(arg, "--"+name+"=")
	})
}

// currentAction is the present name of an action.
func currentAction(action string) string {
	if renamed, ok := renamedActions[action]; ok {
		return renamed
	}
	return action
}

// warnDeprecated logs the old names that a command line uses.
func warnDeprecated(command *kong.Context) {
	found := deprecatedNames(command)
	if len(found) == 0 {
		return
	}
	log, err := newLogger()
	if err != nil {
		return
	}
	defer func() { _ = log.Sync() }()
	for _, name := range found {
		log.Warn("a name on the command line is deprecated", zap.String("old", name.old), zap.String("new", name.replacement))
	}
}
