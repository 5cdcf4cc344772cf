package main

import "net/http"

// actionRollback is the action of rolloutCmd that has a deprecated name.
const actionRollback = "rollback"

// rolloutCmd begins, reads or rolls back a rollout.
type rolloutCmd struct {
	target
	Action          string  `arg:"" enum:"begin,read,rollback,back" help:"begin, read or rollback."`
	Route           string  `arg:"" help:"Name of the route."`
	To              string  `help:"Service that the route is moved to."`
	Steps           []int   `help:"Percentage of the route's requests at each step, rising to 100 (5,25,50,100)."`
	StepSeconds     float64 `name:"step-s" default:"10" help:"Seconds that each step is watched for."`
	MaxFailureShare float64 `aliases:"most" default:"0.05" help:"Share of requests that may fail before the route is rolled back."`
}

// rolloutRequest is the body of a request that begins a rollout.
type rolloutRequest struct {
	MaxFailureShare float64 `json:"mostDefects"`
	StepSeconds     float64 `json:"stepS"`
	Steps           []int   `json:"steps"`
	To              string  `json:"to"`
}

// Run begins, reads or rolls back the rollout of a route, and prints the state of the rollout.
func (c rolloutCmd) Run() error {
	methods := map[string]string{"begin": http.MethodPost, "read": http.MethodGet, actionRollback: http.MethodDelete}
	return c.printJSON(methods[currentAction(c.Action)], "/rollouts/"+c.Route, rolloutRequest{c.MaxFailureShare, c.StepSeconds, c.Steps, c.To})
}
