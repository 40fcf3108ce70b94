package keyed

import (
	"time"

	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/ident"
)

// Bounds of one Issue call and of the copies that wait for one running call.
const (
	MaxKeysPerIssue = 256
	MaxAttached     = 16
)

// Options are the settings of an Issuer.
type Options struct {
	Host            ident.Host
	Incarnation     ident.Incarnation
	Secret          Secret        // fresh random bytes of this incarnation
	Lifetime        time.Duration // a key expires this long after it was issued
	MaxKeys         int           // used keys remembered at once
	MaxTeamKeys     int           // used keys remembered at once for one team
	MaxOutcomeBytes int           // recorded answers kept at once
	MaxAnswerBytes  int           // largest recorded answer
}

// Issuer issues the keys of one incarnation and decides about every call made
// under them.
type Issuer struct {
	options  Options
	longest  time.Duration // lifetime of any key issued so far
	latest   time.Time     // highest time seen; a clock that steps back stands still
	sequence uint64
	runs     uint64
	table    map[uint64]*entry // by sequence of the key
	expiry   expiryHeap
	teamKeys map[string]int // used keys by team tag
	answers  answerList
	replays  replayGuard
}

// New returns an issuer that has issued no key.
func New(options Options) *Issuer {
	return &Issuer{
		options:  options,
		longest:  options.Lifetime,
		table:    make(map[uint64]*entry),
		teamKeys: make(map[string]int),
		answers:  newAnswerList(),
		replays:  replayGuard{windows: make(map[origin]*window)},
	}
}

// SetLifetime changes the lifetime of the keys issued from now on. Keys that
// were issued before keep theirs: a key that has expired must stay so, because
// its use is forgotten.
func (i *Issuer) SetLifetime(lifetime time.Duration) {
	i.options.Lifetime = lifetime
	i.longest = max(i.longest, lifetime)
}

// Used returns the number of used keys that the issuer remembers.
func (i *Issuer) Used() int {
	return len(i.table)
}

// AnswerBytes returns the size of the recorded answers.
func (i *Issuer) AnswerBytes() int {
	return i.answers.bytes
}

// advance returns the time by which the issuer judges: never less than a time
// it has judged by before, so a key that expired stays expired. Only wall clock
// readings count, because the expiry of a key is one.
func (i *Issuer) advance(now time.Time) time.Time {
	now = now.Round(0) // strips the monotonic reading
	if now.After(i.latest) {
		i.latest = now
	}
	return i.latest
}

// Issue returns n new keys for a team.
func (i *Issuer) Issue(now time.Time, team string, n int) ([]string, error) {
	if n < 1 || n > MaxKeysPerIssue {
		return nil, code.New(code.BadRequest, "%d keys asked for, want 1 to %d", n, MaxKeysPerIssue)
	}
	now = i.advance(now)
	keys := make([]string, 0, n)
	for range n {
		i.sequence++
		key := Key{
			Host:        i.options.Host,
			Incarnation: i.options.Incarnation,
			Expires:     now.Add(i.options.Lifetime).Truncate(time.Millisecond),
			Sequence:    i.sequence,
			tag:         i.options.Secret.tag(team),
		}
		key.mac = i.options.Secret.mac(key)
		keys = append(keys, key.String())
	}
	return keys, nil
}

// Route says where a call with a key is decided.
type Route struct {
	Own         bool // by this issuer; otherwise forward to the host named
	Host        ident.Host
	Incarnation ident.Incarnation
}

// Route reads the key of a call that arrived at this host. Keys of another
// host lead there; only that host can tell whether they are genuine.
func (i *Issuer) Route(text string) (Route, error) {
	key, err := ParseKey(text)
	if err != nil {
		return Route{}, code.Wrap(err, code.KeyNotIssued)
	}
	route := Route{Host: key.Host, Incarnation: key.Incarnation}
	if key.Host != i.options.Host {
		return route, nil
	}
	if key.Incarnation != i.options.Incarnation {
		return route, lostError(key)
	}
	route.Own = true
	return route, nil
}

// Verify checks that this incarnation issued the key to the team and that the
// key has not expired.
func (i *Issuer) Verify(now time.Time, team, text string) (Key, error) {
	now = i.advance(now)
	key, err := ParseKey(text)
	if err != nil {
		return Key{}, code.Wrap(err, code.KeyNotIssued)
	}
	if key.Host != i.options.Host {
		return Key{}, code.New(code.KeyIssuerLost, "key was issued by host %q, this is %q", key.Host, i.options.Host)
	}
	if key.Incarnation != i.options.Incarnation {
		return Key{}, lostError(key)
	}
	if !i.options.Secret.signed(key) {
		return Key{}, code.New(code.KeyNotIssued, "key is not signed by host %q", key.Host)
	}
	if key.tag != i.options.Secret.tag(team) {
		return Key{}, code.New(code.KeyForeign, "key was issued to another team than %q", team)
	}
	if !now.Before(key.Expires) {
		return Key{}, code.New(code.KeyExpired, "key expired %s ago", now.Sub(key.Expires))
	}
	return key, nil
}

func lostError(key Key) error {
	return code.New(code.KeyIssuerLost, "the incarnation of host %q that issued the key is gone", key.Host)
}
