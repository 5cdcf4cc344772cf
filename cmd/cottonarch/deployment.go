package main

import (
	"os"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/config/decode"
	"cottonarch.example/cottonarch/sim/scenario"
	"cottonarch.example/cottonarch/sim/world"
)

// deploymentKeys is the number of keys that the applications of a deployment use.
const deploymentKeys = 300

// The renamed fields of a deployment file. The deprecated names are still accepted.
const (
	fieldZones             = "zones"
	oldFieldZones          = "districts"
	fieldConfigInterval    = "configEveryS"
	oldFieldConfigInterval = "manifestEveryS"
)

// readDeployment returns the built-in deployment with the given name, or reads a deployment from the
// file with that name.
func readDeployment(name string) (scenario.Deployment, *failure.Error) {
	if deployment, ok := scenario.Deployments[name]; ok {
		return deployment, nil
	}
	raw, err := os.ReadFile(name)
	if err != nil {
		return scenario.Deployment{}, failure.New(failure.BadSettings, "deployment %q is neither prairie nor volta nor a readable file: %v", name, err)
	}
	tree, fail := decode.Parse(raw)
	if fail != nil {
		fail.Kind = failure.BadSettings
		return scenario.Deployment{}, fail
	}
	faults := &decode.Faults{}
	deployment := decodeDeployment(decode.Root(tree, faults), name)
	return deployment, faults.Err(failure.BadSettings)
}

// decodeDeployment decodes and validates a deployment. A deployment without a name field gets the
// given name.
func decodeDeployment(node decode.Object, name string) scenario.Deployment {
	node.RejectUnknown("name", "cores", "moreCores", "sidecars", fieldZones, oldFieldZones, "services", "requests",
		"rate", "locks", "coordination", fieldConfigInterval, oldFieldConfigInterval)
	zones := renamedField(node, fieldZones, oldFieldZones)
	configInterval := renamedField(node, fieldConfigInterval, oldFieldConfigInterval)
	deployment := scenario.Deployment{
		Name:             node.String("name", name),
		Cores:            int(node.Int("cores", 3, 1, 9)),
		ExtraCores:       int(node.Int("moreCores", 0, 0, 32)),
		Sidecars:         int(node.Int("sidecars", 6, 1, 500)),
		Zones:            int(node.Int(zones, 3, 1, 50)),
		Rate:             node.Float("rate", 100, 0.1, 100000),
		Locks:            int(node.Int("locks", 10, 1, 10000)),
		Keys:             deploymentKeys,
		CoordinationRate: node.Float("coordination", 20, 1, 10000),
		ConfigInterval:   time.Duration(node.Float(configInterval, 3, 0.1, 3600) * float64(time.Second)),
	}
	if deployment.Cores%2 == 0 {
		node.Fault("cores", "must be odd: the initial membership needs an odd number of cores")
	}
	deployment.Services = decodeServices(node.Child("services"))
	deployment.RequestKinds = decodeRequestKinds(node.Child("requests"), deployment.Services)
	if len(deployment.Services) == 0 {
		node.Fault("services", "must contain at least one service")
	}
	if len(deployment.RequestKinds) == 0 {
		node.Fault("requests", "must contain at least one kind of request")
	}
	return deployment
}

// renamedField returns the name under which a renamed field is present in a file: the deprecated name
// if the file has that field, otherwise the current name. Both names in one file are a fault.
func renamedField(node decode.Object, name, old string) string {
	if !node.Has(old) {
		return name
	}
	if node.Has(name) {
		node.Fault(old, "is the deprecated name of %s, which is also present", name)
	}
	return old
}

// decodeServices decodes the services. The names of the fields are the names of the services.
func decodeServices(node decode.Object) (services []scenario.Service) {
	for _, name := range node.FieldNames() {
		field := node.Child(name)
		field.RejectUnknown("host", "endpoints")
		services = append(services, scenario.Service{
			Name:      ident.Service(name),
			Host:      field.RequiredString("host"),
			Endpoints: int(field.Int("endpoints", 2, 1, 1000)),
		})
	}
	return services
}

// decodeRequestKinds decodes the kinds of requests. Each kind must name one of the services.
func decodeRequestKinds(node decode.Object, services []scenario.Service) (kinds []world.RequestKind) {
	for _, name := range node.FieldNames() {
		field := node.Child(name)
		field.RejectUnknown("method", "service", "path", "weight")
		kind := world.RequestKind{
			Name:    name,
			Method:  field.String("method", "GET"),
			Path:    field.String("path", "/"),
			Service: ident.Service(field.RequiredString("service")),
			Weight:  int(field.Int("weight", 1, 1, 1000)),
		}
		for _, service := range services {
			if service.Name == kind.Service {
				kind.Host = service.Host
			}
		}
		if kind.Host == "" {
			field.Fault("service", "service %q is not defined in this deployment", kind.Service)
		}
		kinds = append(kinds, kind)
	}
	return kinds
}
