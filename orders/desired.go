package orders

import (
	"slices"

	"github.com/citronscale/citronscale/config"
	"github.com/citronscale/citronscale/upstream"
)

// Desired returns the order that describes the configured state of each listed
// engine. There is none for engines that are leaving and for engines whose model
// is not in the configuration.
func Desired(cfg *config.Config, engines []upstream.Info) map[upstream.Name]*upstream.Order {
	orders := make(map[upstream.Name]*upstream.Order, len(engines))
	for i := range engines {
		engine := &engines[i]
		model, ok := cfg.Models[engine.Model]
		if engine.Kind != upstream.KindEngine || engine.Leaving || !ok {
			continue
		}
		orders[engine.Name] = &upstream.Order{
			Fence:     cfg.Revision,
			Model:     engine.Model,
			Version:   model.Version,
			Role:      model.Role,
			Adapters:  slices.Clone(model.Adapters),
			Withdrawn: slices.Clone(model.Withdrawn),
		}
	}
	return orders
}

// matches reports whether the engine serves or is loading what the order asks
// for.
func matches(order *upstream.Order, report *upstream.Report) bool {
	target := report.Version
	if report.LoadingVersion != "" {
		target = report.LoadingVersion
	}
	return target == order.Version &&
		(order.Role == "" || order.Role == report.Role) &&
		sameSet(order.Adapters, report.Adapters)
}

// needsPull reports whether the engine has to read the weight store to execute
// the order.
func needsPull(order *upstream.Order, report *upstream.Report) bool {
	if order.Version != report.Version && order.Version != report.LoadingVersion {
		return true
	}
	return slices.ContainsFunc(order.Adapters, func(adapter string) bool {
		return !slices.Contains(report.Adapters, adapter)
	})
}

// onWithdrawn reports whether the engine serves or loads a withdrawn version.
func onWithdrawn(order *upstream.Order, report *upstream.Report) bool {
	return slices.Contains(order.Withdrawn, report.Version) ||
		slices.Contains(order.Withdrawn, report.LoadingVersion)
}

func sameSet(a, b []string) bool {
	notIn := func(list []string) func(string) bool {
		return func(s string) bool { return !slices.Contains(list, s) }
	}
	return !slices.ContainsFunc(a, notIn(b)) && !slices.ContainsFunc(b, notIn(a))
}
