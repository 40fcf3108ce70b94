package event

import "github.com/phuslu/log"

// Events of the process: 1xx.
var (
	ProcessStarting = Event{100, "process starting", log.InfoLevel, "The process read its settings and opens its listeners.", ""}
	ProcessReady    = Event{101, "process ready", log.InfoLevel, "A configuration is in force and the host admits requests.", ""}
	ProcessLeaving  = Event{102, "process leaving", log.InfoLevel, "A planned stop began; nothing new is admitted.", ""}
	ProcessStopped  = Event{103, "process stopped", log.InfoLevel, "Nothing is in flight and the process ends.", ""}
	ProcessPaused   = Event{104, "process paused", log.WarnLevel, "The process did not run for the time given and judged its state anew.", "Look for an overloaded or frozen machine."}

	CertificatesReloaded = Event{105, "certificates reloaded", log.InfoLevel, "Changed certificate files came into use.", ""}
	CertificatesInvalid  = Event{106, "certificates invalid", log.ErrorLevel, "Changed certificate files can't be used; the last good ones stay.", "Correct the files that the settings name."}
)

// Events of settings: 11x.
var (
	SettingsReloaded = Event{110, "settings reloaded", log.InfoLevel, "The settings file was read again.", ""}
	SettingsInvalid  = Event{111, "settings invalid", log.ErrorLevel, "A changed settings file can't be used; the last good settings stay.", "Correct the field that the line names."}
	ListenerFailed   = Event{112, "listener failed", log.ErrorLevel, "A listener ended before the process.", "Look at the error of the line."}
	RequestsCut      = Event{113, "requests cut", log.WarnLevel, "Requests were still in flight at the end of a planned stop.", "Allow a longer grace."}
	OutputFailed     = Event{114, "output failed", log.WarnLevel, "A dump or a message to peers could not be written.", "Look at the error of the line."}
)

// Events of requests: 2xx.
var (
	RequestAdmitted = Event{200, "request admitted", log.DebugLevel, "A request of a known team got its identifier.", ""}
	RequestFinished = Event{201, "request finished", log.InfoLevel, "A request ended whole.", ""}
	RequestRefused  = Event{202, "request refused", log.InfoLevel, "A request was refused and not run.", "Look up the code."}
	RequestFailed   = Event{203, "request failed", log.WarnLevel, "A request failed after it was sent to an upstream.", "Run citronctl trace with the request identifier."}
	AttemptStarted  = Event{210, "attempt started", log.DebugLevel, "A request is sent to an upstream.", ""}
	AttemptFailed   = Event{211, "attempt failed", log.WarnLevel, "An attempt ended without a whole answer.", "Look at the upstream that the line names."}
	StreamResumed   = Event{214, "stream resumed", log.InfoLevel, "A stream broke off and goes on at another upstream.", "Look at the upstream that broke off."}
	UnframedEnd     = Event{215, "unframed end", log.InfoLevel, "An answer ended with its connection; the line holds what its process said of itself, and why the answer counts as broken off if it does.", "Let the upstream send a length or chunks."}
	LinesDropped    = Event{220, "lines dropped", log.WarnLevel, "Log lines were left out to keep the volume bounded.", "Read the metrics for the time of the line."}
	RequestRelayed  = Event{213, "request relayed", log.InfoLevel, "A request ended; the line holds its route, its upstreams and what decided.", "Look up the code."}
	RequestHedged   = Event{240, "request hedged", log.InfoLevel, "A slow request was sent to a second upstream; the line holds both, the one that answered first, and the times.", "Look at the first upstream if it is the same in many lines."}
	AttemptRetried  = Event{212, "attempt retried", log.InfoLevel, "The request goes to another upstream.", ""}
	RequestWaits    = Event{230, "request waits", log.DebugLevel, "A stream found no room at any engine and waits at this host.", ""}
	TeamOverShare   = Event{231, "team over share", log.InfoLevel, "Room is scarce, and the team went over its fair share of the work in progress or came back within it.", "Look at the load of the team that the line names."}
)

// Events of configuration: 3xx.
var (
	ConfigAccepted   = Event{300, "configuration accepted", log.InfoLevel, "A newer revision is in force.", ""}
	ConfigRejected   = Event{301, "configuration rejected", log.ErrorLevel, "A published document is invalid; the last good one stays. On citronrelay it is not confirmed any more.", "Run citronctl config check on the document, or publish a readable one."}
	ConfigInPart     = Event{311, "configuration accepted in part", log.ErrorLevel, "A route, service or limit of a newer revision can't be read; what was in force for it stays, and the rest is in force.", "Publish the parts that the line names anew."}
	ConfigOlder      = Event{302, "configuration older", log.WarnLevel, "The service offers an older revision than the one in force.", "Publish the wanted document under a higher revision."}
	ConfigSourceDown = Event{303, "configuration source down", log.WarnLevel, "The configuration service can't be read.", "Hosts go on with the revision in force; check the service."}
	ConfigStale      = Event{305, "configuration unconfirmed", log.WarnLevel, "The configuration was not confirmed for too long; requests that need a key are refused.", "Check that the host reaches the platform."}
	ConfigFresh      = Event{306, "configuration confirmed", log.InfoLevel, "The configuration is confirmed again.", ""}
	EntryUnreadable  = Event{307, "entry unreadable", log.WarnLevel, "An entry of the platform can't be read and names no upstream.", "Look for the writer of the entry."}
	HistoryLost      = Event{308, "history lost", log.InfoLevel, "Changes may have been missed; everything is read anew.", ""}
	EraChanged       = Event{309, "source came back from an older copy", log.WarnLevel, "The source lost what was written after the copy was made; the line holds both positions, what the copy lacks and what it has that was removed.", "Check that the newest configuration and evacuations are published again."}
	FormerEraIgnored = Event{310, "answer of a former era", log.WarnLevel, "The source or a peer answered from before the source came back from an older copy; the answer changed nothing.", "None if it is rare; else look for a path to the former source."}
	ConfigSourceBack = Event{304, "configuration source back", log.InfoLevel, "The configuration service answers again.", ""}
)

// Events of membership: 4xx.
var (
	PeerJoined             = Event{400, "peer joined", log.InfoLevel, "A peer host was heard for the first time in this incarnation.", ""}
	PeerSuspect            = Event{401, "peer suspect", log.WarnLevel, "A peer host does not answer.", "Check the host and the network between the failure domains."}
	PeerLost               = Event{402, "peer lost", log.WarnLevel, "A peer host is counted as failed.", "Check the host."}
	AnnouncementUnreadable = Event{404, "announcement unreadable", log.WarnLevel, "A datagram of a peer can't be read and was ignored.", "Check that all hosts run the same version."}
	PeerFetchFailed        = Event{405, "peer fetch failed", log.WarnLevel, "Published entries could not be read from a peer that has newer ones; another peer or the platform follows.", "Check the peer that the line names."}
	PeerLeaving            = Event{403, "peer leaving", log.InfoLevel, "A peer host began a planned stop.", ""}
)

// Events of upstreams: 5xx.
var (
	UpstreamUp          = Event{500, "upstream up", log.InfoLevel, "An upstream answers its report.", ""}
	UpstreamDown        = Event{501, "upstream down", log.WarnLevel, "An upstream does not answer its report.", "Check the upstream."}
	UpstreamLeaving     = Event{502, "upstream leaving", log.InfoLevel, "An upstream is leaving and gets no new work.", ""}
	UpstreamReclaimed   = Event{503, "upstream memory reclaimed", log.WarnLevel, "Streams or memory that outlived their deadline or holder were cancelled.", ""}
	UpstreamOrdered     = Event{504, "upstream ordered", log.InfoLevel, "An order was sent to an engine.", ""}
	UpstreamOrderFailed = Event{505, "upstream order failed", log.WarnLevel, "An engine refused or missed an order.", "Compare the fencing numbers with citronctl upstreams."}
	ContentStruck       = Event{506, "content struck", log.WarnLevel, "An upstream crashed while it ran this content.", "Run citronctl trace with the request identifier."}
	ContentQuarantined  = Event{507, "content quarantined", log.ErrorLevel, "Content crashed upstreams repeatedly and is refused.", "Ask the team not to send it again."}
	UpstreamLimited     = Event{509, "upstream limited", log.WarnLevel, "An upstream names the rate of requests that it takes from all hosts.", "Look for the trouble of the upstream; add replicas if most are limited."}
	UpstreamUnlimited   = Event{510, "upstream unlimited", log.InfoLevel, "An upstream names no rate any more.", ""}
	UpstreamDeparting   = Event{511, "upstream departing", log.InfoLevel, "An upstream says in its answers that it is leaving, to this host or to a peer; it gets no new requests until another process replaces it.", ""}
	UpstreamResting     = Event{512, "upstream resting", log.WarnLevel, "An upstream asks this host for a pause with Retry-After.", "Look for the trouble of the upstream; add replicas if most rest."}
	UpstreamServing     = Event{513, "upstream serving", log.InfoLevel, "An upstream answers again after the pause that it asked for.", ""}
	DomainEvacuated     = Event{520, "failure domain evacuated", log.WarnLevel, "The platform has evacuated a failure domain; its upstreams get nothing new.", "Check that the upstreams of the other domains carry the load."}
	DomainReadmitted    = Event{521, "failure domain in use again", log.InfoLevel, "The evacuation of a failure domain has ended; its upstreams get requests again, at first fewer.", ""}
	EngineSlow          = Event{530, "engine slow", log.WarnLevel, "The streams of this host show that an engine takes a multiple of its published times; it gets few new ones.", "Look for the trouble of the engine if it lasts longer than some seconds."}
	EngineAtSpeed       = Event{531, "engine at its published speed", log.InfoLevel, "An engine that was slow runs at its published speed again.", ""}
	UpstreamCold        = Event{522, "upstream cold", log.InfoLevel, "An upstream has just started, or its failure domain is in use again; hosts keep the requests to it within the published rate.", ""}
	UpstreamWarm        = Event{523, "upstream warm", log.InfoLevel, "The warm-up of an upstream has ended.", ""}
	QuarantineLifted    = Event{508, "quarantine lifted", log.InfoLevel, "Content that was refused is sent to upstreams again.", ""}
)

var catalogue = []Event{
	ProcessStarting, ProcessReady, ProcessLeaving, ProcessStopped, ProcessPaused,
	CertificatesReloaded, CertificatesInvalid,
	SettingsReloaded, SettingsInvalid, ListenerFailed, RequestsCut, OutputFailed,
	RequestAdmitted, RequestFinished, RequestRefused, RequestFailed,
	AttemptStarted, AttemptFailed, AttemptRetried, RequestRelayed, StreamResumed, UnframedEnd, LinesDropped, RequestWaits, TeamOverShare, RequestHedged,
	ConfigAccepted, ConfigRejected, ConfigOlder, ConfigSourceDown, ConfigSourceBack,
	ConfigStale, ConfigFresh, EntryUnreadable, HistoryLost, EraChanged, FormerEraIgnored, ConfigInPart,
	PeerJoined, PeerSuspect, PeerLost, PeerLeaving, AnnouncementUnreadable, PeerFetchFailed,
	UpstreamUp, UpstreamDown, UpstreamLeaving, UpstreamReclaimed, UpstreamOrdered,
	UpstreamOrderFailed, ContentStruck, ContentQuarantined, QuarantineLifted,
	UpstreamLimited, UpstreamUnlimited, UpstreamDeparting, UpstreamResting, UpstreamServing,
	DomainEvacuated, DomainReadmitted, UpstreamCold, UpstreamWarm, EngineSlow, EngineAtSpeed,
}
