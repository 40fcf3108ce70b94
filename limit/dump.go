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
	LevelTokens     float64 // negative after a request larger than the bucket
	DemandPerSecond float64 // tokens requested at this host
}

// Dump returns the state of all buckets, sorted by team name.
func (l *Limiter) Dump(now time.Time) []TeamDump {
	teams := make([]TeamDump, 0, len(l.teams))
	for team, b := range l.teams {
		teams = append(teams, TeamDump{Team: team, LevelTokens: b.level, DemandPerSecond: b.demand.PerSecond(now)})
	}
	slices.SortFunc(teams, func(a, b TeamDump) int { return cmp.Compare(a.Team, b.Team) })
	return teams
}

// ClassDump counts the queued items of one class.
type ClassDump struct {
	Class  balancer.Class
	Items  int
	Tokens uint64
}

// Dump returns the counts of each class that has queued items.
func (q *FairQueue) Dump() []ClassDump {
	var classes []ClassDump
	for class := balancer.ClassShort; class <= balancer.ClassLong; class++ {
		if items := len(q.classes[class].heap); items > 0 {
			classes = append(classes, ClassDump{Class: class, Items: items, Tokens: q.classes[class].tokens})
		}
	}
	return classes
}
