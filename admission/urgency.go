package admission

import (
	"cmp"
	"slices"
	"time"

	"github.com/citronscale/citronscale/route"
)

// engineLevels is the number of priorities that engines take, 0 to 9.
const engineLevels = 10

// urgency orders streams: the lower, the more urgent.
type urgency struct {
	team, route int
	goal        time.Duration
}

func compareUrgency(a, b urgency) int {
	return cmp.Or(cmp.Compare(a.team, b.team), cmp.Compare(a.route, b.route), cmp.Compare(a.goal, b.goal))
}

// Ranks holds the ranks of the streams of one configuration, by team priority, route
// priority and goal, in that order. It is immutable.
type Ranks struct {
	ordered  []urgency // the most urgent first
	teams    map[string]int
	noTeam   int  // priority of streams without a team
	byGoal   bool // all priorities are equal
	byEngine []int
}

// NewRanks returns the ranks of the streams of a configuration.
func NewRanks(config *route.Config) *Ranks {
	r := &Ranks{teams: make(map[string]int, len(config.Teams))}
	var teamPriorities []int
	for i := range config.Teams {
		team := &config.Teams[i]
		r.teams[team.Name] = team.Priority
		r.noTeam = max(r.noTeam, team.Priority)
		teamPriorities = append(teamPriorities, team.Priority)
	}
	teamPriorities = distinct(append(teamPriorities, r.noTeam), cmp.Compare)
	var routePriorities []int
	for i := range config.Routes {
		current := &config.Routes[i]
		if current.Kind != route.Stream {
			continue // only streams are ordered
		}
		routePriorities = append(routePriorities, current.Priority)
		for _, team := range teamPriorities {
			r.ordered = append(r.ordered, urgency{team, current.Priority, current.Goal})
		}
	}
	r.ordered = distinct(r.ordered, compareUrgency)
	r.byGoal = len(teamPriorities) <= 1 && len(distinct(routePriorities, cmp.Compare)) <= 1
	r.byEngine = engineRanks(r.ordered)
	return r
}

func distinct[T comparable](list []T, compare func(a, b T) int) []T {
	slices.SortFunc(list, compare)
	return slices.Compact(list)
}

// engineRanks maps ranks to the priorities that engines take. Goals are compared by
// class, and neighbours share a priority if there are more than engineLevels.
func engineRanks(ordered []urgency) []int {
	list := make([]int, len(ordered))
	level := 0
	for i := range ordered {
		if i > 0 && !sameLevel(ordered[i-1], ordered[i]) {
			level++
		}
		list[i] = level
	}
	if levels := level + 1; levels > engineLevels {
		for i := range list {
			list[i] = list[i] * engineLevels / levels
		}
	}
	return list
}

func sameLevel(a, b urgency) bool {
	return a.team == b.team && a.route == b.route && GoalUrgency(a.goal) == GoalUrgency(b.goal)
}

func (r *Ranks) urgency(team string, of *route.Route) urgency {
	priority, ok := r.teams[team]
	if !ok {
		priority = r.noTeam
	}
	return urgency{priority, of.Priority, of.Goal}
}

// Rank returns the rank of a stream in the queue, 0 for the most urgent. A stream without
// a team ranks with the least urgent team.
func (r *Ranks) Rank(team string, of *route.Route) int {
	rank, _ := slices.BinarySearchFunc(r.ordered, r.urgency(team, of), compareUrgency)
	return rank
}

// Engine returns the priority of a stream that is sent to engines, from 0 to 9. If all
// published priorities are equal, it depends on the goal alone, as before priorities were
// read.
func (r *Ranks) Engine(team string, of *route.Route) int {
	if r.byGoal || len(r.byEngine) == 0 {
		return GoalUrgency(of.Goal)
	}
	return r.byEngine[min(r.Rank(team, of), len(r.byEngine)-1)]
}

// GoalUrgency returns the priority of a prompt in the queue of an engine by its goal
// alone: the shorter the goal, the lower the number.
func GoalUrgency(goal time.Duration) int {
	const (
		short  = 500 * time.Millisecond
		middle = 2 * time.Second
	)
	switch {
	case goal <= short:
		return 2
	case goal <= middle:
		return 4
	default:
		return 6
	}
}
