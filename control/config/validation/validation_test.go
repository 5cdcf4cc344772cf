package validation_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/config/decode"
	"cottonarch.example/cottonarch/control/config/validation"
)

// wireDocument is a configuration in the form in which operators send it.
const wireDocument = `{"release":7,"ways":{"r-n2ctnfz":{"host":"jepu9.example","pathStart":"/lepu270/",` +
	`"repeat":"repeatable","timeoutMs":500.5,"aimMs":200,"rank":3,` +
	`"split":[{"service":"kafi81c","weight":0.1},{"service":"huvo11a","weight":0.9}],"tries":2},` +
	`"r-s989anu":{"host":"hulo84.example","pathStart":"/xapu221/ny95/","repeat":"one_shot",` +
	`"timeoutMs":600,"aimMs":250,"rank":1,"service":"wuno96b","tries":2}},` +
	`"services":{"huvo11a":{"checkPath":"/health","connections":100,"protocol":"h1","encrypted":false},` +
	`"wuno96b":{},"kafi81c":{}},` +
	`"limits":{"headBytes":16384,"bodyBytes":67108864,"headMs":3000,"idleMs":15000}}`

func readLeniently(t *testing.T, body string) (*validation.Config, *failure.Error) {
	t.Helper()
	document, err := decode.Parse([]byte(body))
	must.Nil(t, err)
	return validation.Lenient(document)
}

// Strict and Lenient convert a document from an operator to the same typed configuration.
func TestWireDocument(t *testing.T) {
	config, err := readLeniently(t, wireDocument)
	must.Nil(t, err)
	must.Eq(t, 7, config.Version)
	must.Eq(
		t,
		validation.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 67108864, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
		config.Limits,
	)
	must.Eq(
		t,
		validation.Route{
			Name:          "r-n2ctnfz",
			Host:          "jepu9.example",
			PathPrefix:    "/lepu270/",
			Service:       "huvo11a",
			Repeat:        validation.Repeatable,
			Priority:      3,
			TargetLatency: 200 * time.Millisecond,
			Split: []validation.WeightedService{
				{Service: "kafi81c", Percent: 10},
			},
			Timeout:     500500 * time.Microsecond,
			MaxAttempts: 2,
		},
		config.Routes[0],
	)
	must.Eq(t, "/health", config.Services["huvo11a"].HealthCheckPath)
	must.Eq(t, 100, config.Services["huvo11a"].MaxConnections)
	document, _ := decode.Parse([]byte(wireDocument))
	strictConfig, err := validation.Strict(document)
	must.Nil(t, err)
	must.Eq(t, config, strictConfig)
	bare, err := readLeniently(
		t,
		`{"services":{"a":{}},"ways":{"u":{"host":"h","pathStart":"/u/","service":"a","urgent":true},"w":{"host":"h","service":"a"}}}`,
	)
	must.Nil(t, err)
	must.Eq(t, validation.DefaultLimits, bare.Limits)
	must.Eq(t, []int{0, 2}, []int{bare.Routes[0].Priority, bare.Routes[1].Priority})
}

// Each of these faults makes a configuration invalid, for Strict and for Lenient.
func TestInvalidConfigs(t *testing.T) {
	for valid, invalid := range map[string][]string{
		`"service":"wuno96b"`: {
			`"service":"nobody"`,
			`"service":""`,
			`"service":1`,
			`"split":[]`,
			`"split":[{"service":"wuno96b","weight":0}]`,
			`"split":[{"service":"wuno96b"}]`,
			`"split":[7]`,
			`"split":[{"weight":1}]`,
			`"service":"wuno96b","split":[{"service":"kafi81c","weight":1}]`,
			`"service":"wuno96b","split":{"kafi81c":-1}`,
			`"tries":2`,
		},
		`"weight":0.1`:           {`"weight":-0.1`, `"weight":"1"`, `"weight":1e400`, `"weight":null`},
		`{"service":"kafi81c"`:   {`{"service":"nobody"`},
		`"timeoutMs":600`:        {`"timeoutMs":0`, `"timeoutMs":-1`, `"timeoutMs":"600"`},
		`"repeat":"one_shot"`:    {`"repeat":"twice"`, `"repeat":""`, `"repeat":1`},
		`"pathStart":"/xapu221/`: {`"pathStart":"xapu221/`, `"pathStart":"/a?b/`},
		`"host":"hulo84.example","pathStart":"/xapu221/ny95/"`: {
			`"host":"JEPU9.example","pathStart":"/lepu270/"`,
			`"pathStart":"/"`,
			`"host":"a b","pathStart":"/"`,
		},
		`"release":7`:           {`"release":-1`, `"release":7.5`, `"release":"7"`},
		`"encrypted":false`:     {`"encrypted":true`},
		`"protocol":"h1"`:       {`"protocol":"h2"`},
		`"connections":100`:     {`"connections":-1`, `"connections":1.5`},
		`"checkPath":"/health"`: {`"checkPath":"health"`},
		`"headBytes":16384`:     {`"headBytes":0`},
		`"headMs":3000`:         {`"headMs":"x"`},
		`"services":{`:          {`"services":7,"x":{`},
	} {
		must.StrContains(t, wireDocument, valid)
		for _, replacement := range invalid {
			document, err := decode.Parse([]byte(strings.Replace(wireDocument, valid, replacement, 1)))
			must.Nil(t, err, must.Sprint(replacement))
			_, err = validation.Lenient(document)
			must.NotNil(t, err, must.Sprint(replacement))
			must.Eq(t, failure.Invalid, err.Kind)
			_, err = validation.Strict(document)
			must.NotNil(t, err, must.Sprint(replacement))
		}
	}
}

// Lenient accepts unknown fields and names that Strict rejects.
func TestUnknownFieldsAndLenientNames(t *testing.T) {
	for _, body := range []string{
		`{"x":1}`, `{"limits":{"x":1}}`, `{"services":{"a":{"x":{}}}}`, `{"services":{"Ä/1":{}}}`,
		`{"services":{"a":{}},"ways":{"w_":{"host":"h","service":"a"}}}`,
		`{"services":{"a":{}},"ways":{"w":{"host":"h","split":[{"service":"a","weight":1,"x":2}]}}}`,
	} {
		_, err := readLeniently(t, body)
		must.Nil(t, err, must.Sprint(body))
		document, _ := decode.Parse([]byte(body))
		_, err = validation.Strict(document)
		must.NotNil(t, err, must.Sprint(body))
	}
}

// The shares keep the proportions of any weights to a millionth. The service with the largest
// weight, among equal weights the first by name, receives the remainder; a service with weight 0
// receives nothing.
func TestWeightedSplits(t *testing.T) {
	for list, want := range map[string]string{
		`a 1`:                "a",
		`b 1 a 1`:            "a b500000",
		`a 0 b 2`:            "b",
		`a 1 b 2`:            "b a333333",
		`a 90 b 9.99 c 0.01`: "a b99900 c100",
		`a 0.1 b 0.2 c 0.7`:  "c a100000 b200000",
		`c 1 a 1 c 1`:        "c a333333",
		`a 1e-9 b 1e9`:       "b",
		`a 3 b 3 c 3`:        "a b333333 c333333",
	} {
		var parts []string
		tokens := strings.Fields(list)
		for i := 0; i < len(tokens); i += 2 {
			parts = append(parts, fmt.Sprintf(`{"service":%q,"weight":%s}`, tokens[i], tokens[i+1]))
		}
		config, err := readLeniently(
			t,
			`{"services":{"a":{},"b":{},"c":{}},"ways":{"w":{"host":"h","split":[`+strings.Join(parts, ",")+`]}}}`,
		)
		must.Nil(t, err)
		got := string(config.Routes[0].Service)
		for _, part := range config.Routes[0].Split {
			got += fmt.Sprintf(" %s%d", part.Service, part.Millionths())
		}
		must.Eq(t, want, got)
	}
}

// Checks for every policy whether a safe and an unsafe method may be executed twice.
func TestRepeatPolicies(t *testing.T) {
	for policy, want := range map[validation.RepeatPolicy][2]bool{
		validation.ByMethod:   {true, false},
		validation.Repeatable: {true, true},
		validation.Download:   {true, true},
		validation.OneShot:    {},
		validation.Upload:     {},
		"other":               {},
	} {
		must.Eq(t, want, [2]bool{policy.Allows("GET"), policy.Allows("POST")}, must.Sprint(policy))
	}
}

func manyRoutes(n int) []byte {
	routes := []string{}
	for i := range n {
		routes = append(routes, fmt.Sprintf(
			`"r-%07x":{"host":"jepu%d.example","pathStart":"/lepu%d/ny%d/","repeat":"repeatable","timeoutMs":500,`+
				`"aimMs":200,"rank":2,"split":[{"service":"huvo11a","weight":90},{"service":"kafi81c","weight":10}],"tries":2}`,
			i*7919, i%9, i, i))
	}
	return []byte(`{"release":7,"ways":{` + strings.Join(routes, ",") + `},"services":{"huvo11a":{},"kafi81c":{}}}`)
}

func BenchmarkParseAndValidate500(b *testing.B) {
	raw := manyRoutes(500)
	b.SetBytes(int64(len(raw)))
	b.ReportAllocs()
	for b.Loop() {
		document, err := decode.Parse(raw)
		if err == nil {
			_, err = validation.Lenient(document)
		}
		if err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkValidate500(b *testing.B) {
	document, _ := decode.Parse(manyRoutes(500))
	b.ReportAllocs()
	for b.Loop() {
		if config, err := validation.Lenient(document); err != nil || config.Services[ident.Service("huvo11a")].RetryRatio == 0 {
			b.Fatal(err)
		}
	}
}
