package metrics

import (
	"strings"
	"sync"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	peerv1 "github.com/citronscale/citronscale/api/peer/v1"
	"github.com/citronscale/citronscale/code"
)

var (
	sent     = option(attribute.String("direction", "sent"))
	received = option(attribute.String("direction", "received"))

	classOptions  = newClassOptions()
	resultOptions sync.Map // of resultKey to metric.MeasurementOption
)

// resultKey is the key of resultOptions. The number of keys is small, so the
// options are never removed.
type resultKey struct {
	class  peerv1.WorkClass
	result code.Code
}

func option(attributes ...attribute.KeyValue) metric.MeasurementOption {
	return metric.WithAttributeSet(attribute.NewSet(attributes...))
}

func newClassOptions() []metric.MeasurementOption {
	options := make([]metric.MeasurementOption, len(peerv1.WorkClass_name))
	for i := range options {
		options[i] = option(attribute.String("class", className(peerv1.WorkClass(i))))
	}
	return options
}

func classOption(class peerv1.WorkClass) metric.MeasurementOption {
	if class < 0 || int(class) >= len(classOptions) {
		class = peerv1.WorkClass_WORK_CLASS_UNSPECIFIED
	}
	return classOptions[class]
}

func resultOption(class peerv1.WorkClass, result code.Code) metric.MeasurementOption {
	key := resultKey{class, result}
	if cached, ok := resultOptions.Load(key); ok {
		return cached.(metric.MeasurementOption)
	}
	created := option(
		attribute.String("class", className(class)),
		attribute.Int("code", int(result)),
		attribute.String("name", result.Name()),
		attribute.String("outcome", outcomeName(result)),
	)
	resultOptions.Store(key, created)
	return created
}

func outcomeName(result code.Code) string {
	if result == code.OK {
		return code.Ran.String()
	}
	return result.Outcome().String()
}

// className returns the class in lower case, such as short, or none if the class
// is unspecified or unknown.
func className(class peerv1.WorkClass) string {
	if class <= 0 || int(class) >= len(peerv1.WorkClass_name) {
		return "none"
	}
	return strings.ToLower(strings.TrimPrefix(class.String(), "WORK_CLASS_"))
}

// stateName returns the state of a host in lower case, such as ready.
func stateName(state peerv1.HostState) string {
	return strings.ToLower(strings.TrimPrefix(state.String(), "HOST_STATE_"))
}
