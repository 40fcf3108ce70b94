package limit

import (
	"cmp"
	"slices"
	"time"

	"github.com/citronscale/citronscale/balancer"
)

// TeamDump is the state of the bucket of one team for operators.
type TeamDump struct {
	Team            string
	LevelTokens     float64 // negative while the team is in debt
	DemandPerSecond float64 // tokens asked for at this host
}

// Dump returns the teams that the Limiter holds, by name.
func (l *Limiter) Dump(now time.Time) []TeamDump {
	teams := make([]TeamDump, 0, len(l.teams))
	for team, b := range l.teams {
		teams = append(teams, TeamDump{Team: team, LevelTokens: b.level, DemandPerSecond: b.demand.PerSecond(now)})
	}
	slices.SortFunc(teams, func(a, b TeamDump) int { return cmp.Compare(a.Team, b.Team) })
	return teams
}

// ClassDump is the part of one class in a queue.
type ClassDump struct {
	Class  balancer.Class
	Items  int
	Tokens uint64
}

// Dump returns what waits in the queue, by class. Classes without items are
// left out.
func (q *FairQueue) Dump() []ClassDump {
	var classes []ClassDump
	for class := balancer.ClassShort; class <= balancer.ClassLong; class++ {
		if items := len(q.classes[class].heap); items > 0 {
			classes = append(classes, ClassDump{Class: class, Items: items, Tokens: q.classes[class].tokens})
		}
	}
	return classes
}
