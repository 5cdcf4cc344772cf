package main

import (
	"slices"
	"strings"

	"github.com/alecthomas/kong"
	"go.uber.org/zap"
)

// deprecatedName is a deprecated name that a command line uses, with the replacement for that name.
type deprecatedName struct{ old, replacement string }

// renamedActions maps the deprecated names of actions to the current names. An action is the first
// argument of a command.
var renamedActions = map[string]string{"back": actionRollback, "claim": actionAcquire, "pass": actionTransfer}

// deprecatedNames returns the deprecated names of commands, flags and actions that a command line uses.
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

// usesFlag returns whether the arguments contain the flag with the given name, with or without a
// value.
func usesFlag(args []string, name string) bool {
	return slices.ContainsFunc(args, func(arg string) bool {
		return arg == "--"+name || strings.HasPrefix(arg, "--"+name+"=")
	})
}

// currentAction returns the current name of an action, which may be given by the deprecated name.
func currentAction(action string) string {
	if renamed, ok := renamedActions[action]; ok {
		return renamed
	}
	return action
}

// warnDeprecated logs a warning for each deprecated name that a command line uses.
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
		log.Warn("the command line uses a deprecated name", zap.String("old", name.old), zap.String("new", name.replacement))
	}
}
