package limit

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	peerv1 "github.com/citronscale/citronscale/api/peer/v1"
	"github.com/citronscale/citronscale/ident"
)

// Options are the rules of a Limiter.
type Options struct {
	Spread     time.Duration // time in which a membership record reaches all hosts
	EvenWeight float64       // of the rate, counted as demand divided evenly over all hosts
	Idle       time.Duration // after which a team without requests is forgotten
}

// DefaultOptions returns the rules in use unless the configuration says
// otherwise.
func DefaultOptions() Options {
	return Options{Spread: 5 * time.Second, EvenWeight: 0.25, Idle: time.Minute}
}

// TeamRate is the limit of one team over all hosts.
type TeamRate struct {
	TokensPerSecond float64 // zero means no limit
	BurstTokens     float64
}

// Limiter holds the token buckets of the teams that are active on this host.
type Limiter struct {
	options Options
	teams   map[string]*bucket
	peers   map[uint32]peerDemand   // by team digest
	heard   map[ident.Host][]uint32 // team digests that hold demand of the host
	hosts   int
}

// NewLimiter returns a Limiter without teams for a fleet of the given number of
// hosts, this one included.
func NewLimiter(options Options, hosts int) *Limiter {
	return &Limiter{
		options: options,
		teams:   make(map[string]*bucket),
		peers:   make(map[uint32]peerDemand),
		heard:   make(map[ident.Host][]uint32),
		hosts:   max(hosts, 1),
	}
}

// TeamDigest returns the digest that names a team in membership records. Two
// teams with one digest count as one in the demand of other hosts, which lowers
// their shares and never raises them.
func TeamDigest(team string) uint32 {
	return uint32(xxhash.Sum64String(team))
}

// Allow takes the tokens of a request out of the bucket of its team. If the
// bucket lacks them it returns false and the time until it will hold them.
// A request larger than the bucket is allowed when the bucket is full, and
// leaves it in debt.
func (l *Limiter) Allow(now time.Time, team string, limit TeamRate, tokens uint64) (bool, time.Duration) {
	b := l.bucket(now, team)
	b.demand.Add(now, float64(tokens))
	b.active = now
	if limit.TokensPerSecond <= 0 {
		return true, 0
	}
	b.limit = limit
	l.refill(now, team, b)
	return b.take(float64(tokens))
}

// Peers takes in the usage that the record of another host carries. The host
// calls it for every member before it admits the first request, and then at
// least once each Spread.
func (l *Limiter) Peers(host ident.Host, usage []*peerv1.TeamUsage) {
	values := make(map[uint32]float64, len(usage))
	for _, u := range usage {
		values[u.GetTeamDigest()] += float64(u.GetTokensPerSecond())
	}
	l.Forget(host)
	for digest, value := range values {
		l.setPeer(digest, host, value)
	}
}

func (l *Limiter) setPeer(digest uint32, host ident.Host, value float64) {
	demand := l.peers[digest]
	if demand == nil {
		demand = make(peerDemand)
		l.peers[digest] = demand
	}
	demand[host] = value
	l.heard[host] = append(l.heard[host], digest)
}

// SetHosts sets the number of hosts that are known: this one and recently lost
// ones included.
func (l *Limiter) SetHosts(hosts int) {
	l.hosts = max(hosts, 1)
}

// Forget drops the usage of a host that the membership no longer holds.
func (l *Limiter) Forget(host ident.Host) {
	for _, digest := range l.heard[host] {
		demand := l.peers[digest]
		delete(demand, host)
		if len(demand) == 0 {
			delete(l.peers, digest)
		}
	}
	delete(l.heard, host)
}

// Usage returns the demand that the own membership record advertises from now
// on: that of at most maxTeams teams, the largest first. It forgets idle teams. The
// host calls it before each change of its record, at least once each second.
func (l *Limiter) Usage(now time.Time, maxTeams int) []*peerv1.TeamUsage {
	usage := make([]*peerv1.TeamUsage, 0, len(l.teams))
	for team, b := range l.teams {
		l.refill(now, team, b)
		if now.Sub(b.active) > l.options.Idle && b.level >= b.size {
			delete(l.teams, team)
			continue
		}
		usage = append(usage, &peerv1.TeamUsage{
			TeamDigest:      TeamDigest(team),
			TokensPerSecond: uint32(b.demand.PerSecond(now)),
		})
	}
	slices.SortFunc(usage, func(a, b *peerv1.TeamUsage) int {
		return cmp.Or(cmp.Compare(b.TokensPerSecond, a.TokensPerSecond), cmp.Compare(a.TeamDigest, b.TeamDigest))
	})
	usage = usage[:min(len(usage), maxTeams)]
	l.advertise(now, usage)
	return usage
}

// advertise records what the other hosts will hear.
func (l *Limiter) advertise(now time.Time, usage []*peerv1.TeamUsage) {
	values := make(map[uint32]float64, len(usage))
	for _, u := range usage {
		values[u.TeamDigest] = float64(u.TokensPerSecond)
	}
	for team, b := range l.teams {
		b.own.observe(now, l.options.Spread, values[TeamDigest(team)])
	}
}

// Rate returns the rate of a team on this host in tokens per second.
func (l *Limiter) Rate(now time.Time, team string, limit TeamRate) float64 {
	return limit.TokensPerSecond * l.share(now, team, l.bucket(now, team), limit)
}

func (l *Limiter) share(now time.Time, team string, b *bucket, limit TeamRate) float64 {
	return b.share(now, limit, l.peers[TeamDigest(team)], l.hosts, &l.options)
}

func (l *Limiter) refill(now time.Time, team string, b *bucket) {
	if b.limit.TokensPerSecond > 0 {
		b.refill(now, l.share(now, team, b, b.limit))
	}
}

// Teams returns the number of teams that the Limiter holds.
func (l *Limiter) Teams() int {
	return len(l.teams)
}

func (l *Limiter) bucket(now time.Time, team string) *bucket {
	b := l.teams[team]
	if b != nil {
		return b
	}
	b = newBucket(now)
	l.teams[team] = b
	return b
}
