#include "conf/schema.h"

#include <algorithm>
#include <array>

namespace client_proxy::conf {
namespace {

constexpr double kSecond = 1e6, kHour = 3600e6, kMostCount = 1e7;

constexpr Key kGuaranteed = {.name = "guaranteed",
                             .kind = Kind::Count,
                             .about = "Places kept free for it.",
                             .fallback = "0",
                             .most = kMostCount,
                             .risk_down = "its requests may be refused when others fill the places"};
constexpr Key kMost = {.name = "most",
                       .kind = Kind::Count,
                       .about = "The most places it may have.",
                       .otherwise = "no bound of its own",
                       .least = 1,
                       .most = kMostCount,
                       .bound = true,
                       .risk_up = "it can take places that others had",
                       .risk_down = "its requests beyond this are refused"};
constexpr Key kWeight = {
    .name = "weight",
    .kind = Kind::Number,
    .about = "Among those that wait, the one with the fewest open for its weight is next.",
    .otherwise = "1, or a tenant's share",
    .least = 0.001,
    .most = 1000};

constexpr std::array kClass = {
    Key{.name = "effect",
        .kind = Kind::Choice,
        .about = "What running it twice does: unsafe, it must not; keyed, repeats by the same key are "
                 "dropped within "
                 "its group and window; safe, nothing. Safe ones are asked by GET, others by POST.",
        .choices = "unsafe keyed safe",
        .use = Use::Alone,
        .required = true,
        .risk_up = "requests that may have run are repeated now, which was not allowed"},
    Key{.name = "aim",
        .kind = Kind::Duration,
        .about = "An answer within this time has its full worth.",
        .least = 1000,
        .most = kHour,
        .use = Use::Alone,
        .required = true},
    Key{.name = "deadline",
        .kind = Kind::Duration,
        .about = "How long a client waits at most; what isn't answered by then is given up.",
        .least = 1000,
        .most = kHour,
        .use = Use::Alone,
        .required = true,
        .risk_down = "answers that came in time are given up now"},
    Key{.name = "group",
        .kind = Kind::Choice,
        .about = "Of a keyed class: which hosts drop its repeats, those of one cell, of one zone, or all.",
        .otherwise = "all",
        .choices = "cell zone all",
        .use = Use::Alone,
        .risk_up = "repeats may go to hosts that did not drop them before"},
    Key{.name = "window",
        .kind = Kind::Duration,
        .about = "Of a keyed class: how long after the first send its repeats are dropped.",
        .otherwise = "keyed classes must say it",
        .least = 1000,
        .most = kHour,
        .use = Use::Alone,
        .risk_up = "repeats are sent later than before: the hosts must still drop them"},
    Key{.name = "attempts",
        .kind = Kind::Count,
        .about = "How often one of its requests is sent at most, instead of the pool's attempts.",
        .otherwise = "the pool's attempts",
        .least = 1,
        .most = 16,
        .use = Use::Alone,
        .risk_up = "more repeats reach hosts that fail",
        .risk_down = "requests that a repeat would have saved are lost"},
    Key{.name = "worth",
        .kind = Kind::Number,
        .about = "What an answer in time is worth, against other classes: the least is refused first.",
        .fallback = "1",
        .most = 1e6,
        .use = Use::Alone},
    Key{.name = "late-worth",
        .kind = Kind::Percent,
        .about = "The part of its worth that an answer between aim and deadline has.",
        .fallback = "0%",
        .most = 1,
        .use = Use::Alone},
    kGuaranteed,
    kMost,
    kWeight,
};
constexpr Block kClassBlock = {.keys = kClass, .named = true};

constexpr std::array kTenant = {
    Key{.name = "share",
        .kind = Kind::Percent,
        .about = "Its part of the service: what it asks beyond that is refused first.",
        .fallback = "0%",
        .most = 1,
        .use = Use::Alone,
        .risk_down = "more of its requests count as beyond its share"},
    kGuaranteed,
    kMost,
    kWeight,
};
constexpr Block kTenantBlock = {.keys = kTenant, .named = true};

constexpr std::array kHost = {
    Key{.name = "zone",
        .kind = Kind::Name,
        .about = "Where it stands.",
        .otherwise = "the zone without a name"},
    Key{.name = "cell",
        .kind = Kind::Count,
        .about = "The group of hosts within its zone that share what they know of keyed requests.",
        .fallback = "0",
        .most = kMostCount},
    Key{.name = "capacity",
        .kind = Kind::Number,
        .about = "Its size, against other hosts.",
        .fallback = "1",
        .least = 0.001,
        .most = 1e6},
};
constexpr Block kHostBlock = {.keys = kHost, .named = true, .address = true};

constexpr Key kHostKey = {
    .name = "host",
    .kind = Kind::Block,
    .about = "A host and its address. One that is taken out gets nothing new from then on.",
    .risk_down = "its load goes to the others",
    .block = &kHostBlock};

constexpr std::array kPool = {
    kHostKey,
    Key{.name = "hosts-file",
        .kind = Kind::Text,
        .about = "A file of `host` statements, relative to the file that names it. It is looked at twice a "
                 "second: "
                 "a new version replaces the old, one with an error changes nothing.",
        .otherwise = "none",
        .risk_up = "the hosts are others"},
    Key{.name = "attempts",
        .kind = Kind::Count,
        .about = "How often one request is sent at most. An unsafe one is sent again only if no earlier "
                 "attempt can "
                 "have run.",
        .fallback = "3",
        .least = 1,
        .most = 16,
        .risk_up = "more repeats reach hosts that fail",
        .risk_down = "requests that a repeat would have saved are lost"},
    Key{.name = "cancel",
        .kind = Kind::Choice,
        .about = "Whether attempts that are no longer needed are cancelled, by closing their connection.",
        .fallback = "on",
        .choices = "off on"},
    Key{.name = "probe",
        .kind = Kind::Choice,
        .about = "Whether hosts that failed are asked GET /healthz before they get requests again.",
        .fallback = "on",
        .choices = "off on"},
    Key{.name = "retry-after-most",
        .kind = Kind::Duration,
        .about = "The longest Retry-After that a refused client is told; 0s: none is told.",
        .fallback = "1.5s",
        .most = kHour},
    Key{.name = "drain-grace",
        .kind = Kind::Duration,
        .about =
            "How long after a host began to leave nothing new may reach it; here it gets nothing at once.",
        .fallback = "2s",
        .most = kHour},
    Key{.name = "cold-from",
        .kind = Kind::Percent,
        .about = "The part of its capacity that a host which just started has.",
        .fallback = "30%",
        .least = 0.001,
        .most = 1,
        .risk_up = "hosts that just started get more at once"},
    Key{.name = "cold-time",
        .kind = Kind::Duration,
        .about = "How long after its start a host has its whole capacity.",
        .fallback = "8s",
        .most = kHour,
        .risk_down = "hosts that just started get more, sooner"},
    Key{.name = "cold-multiple",
        .kind = Kind::Number,
        .about = "A cold host that gets more than this multiple of what it can take falls over.",
        .fallback = "3",
        .least = 1,
        .most = 1000,
        .risk_up = "hosts that just started may be pushed over"},
};
constexpr Block kPoolBlock = {.keys = kPool, .named = true};

constexpr std::array kMember = {
    Key{.name = "zone",
        .kind = Kind::Name,
        .about = "Where it stands, by the name that hosts of the same zone have.",
        .otherwise = "what it says itself"},
    Key{.name = "region",
        .kind = Kind::Name,
        .about = "The region of its zone.",
        .otherwise = "what it says itself"},
};
constexpr Block kMemberBlock = {.keys = kMember, .named = true, .address = true};

constexpr Key kMemberKey = {.name = "member",
                            .kind = Kind::Block,
                            .about =
                                "A proxy of the fleet by its number (its `client`), and the address that its "
                                "datagrams come from and go "
                                "to.",
                            .risk_down = "nothing that it says is heard any more",
                            .block = &kMemberBlock};

constexpr std::array kFleet = {
    Key{.name = "name",
        .kind = Kind::Name,
        .about = "The fleet's name: datagrams of a fleet of another name are dropped.",
        .fallback = "fleet",
        .live = false,
        .risk_up = "members that still go by the other name are not heard"},
    Key{.name = "listen",
        .kind = Kind::Address,
        .about = "Where the others' datagrams come in (UDP).",
        .required = true,
        .live = false},
    Key{.name = "region",
        .kind = Kind::Name,
        .about = "The region of this instance's zone, told to the others.",
        .otherwise = "the region of its own entry among the members"},
    kMemberKey,
    Key{.name = "members-file",
        .kind = Kind::Text,
        .about = "A file of `member` statements, relative to the file that names it. It is looked at twice a "
                 "second: "
                 "a new version replaces the old, one with an error changes nothing.",
        .otherwise = "none",
        .risk_up = "the members are others"},
};
constexpr Block kFleetBlock = {.keys = kFleet};

constexpr std::array kRoute = {
    Key{.name = "path",
        .kind = Kind::Text,
        .about = "'/a', '/a/{b}', '/a/*': the most specific route that matches takes a request.",
        .otherwise = "any"},
    Key{.name = "method", .kind = Kind::Name, .about = "GET, POST ...", .otherwise = "any"},
    Key{.name = "class", .kind = Kind::Name, .about = "A class of requests.", .otherwise = "any"},
};
constexpr Block kRouteBlock = {.keys = kRoute, .named = true};

constexpr std::array kService = {
    Key{.name = "home",
        .kind = Kind::Name,
        .about = "The zone whose hosts run it: its unsafe and keyed requests go there alone.",
        .required = true,
        .risk_up = "members whose files differ have no majority for it"},
    Key{.name = "stand-by",
        .kind = Kind::Name,
        .about = "The zone that takes it over where the one that has it is lost.",
        .otherwise = "none",
        .risk_down = "nobody takes it over"},
    Key{.name = "lease",
        .kind = Kind::Duration,
        .about =
            "How long a promise holds that no other zone gets it; of several services the shortest counts.",
        .fallback = "3s",
        .least = 500e3,
        .most = 60 * kSecond,
        .live = false,
        .risk_up = "a take-over waits longer",
        .risk_down = "more is said between members, and short pauses stop service"},
    Key{.name = "route",
        .kind = Kind::Block,
        .about = "Which requests are its; of several services the most specific route wins.",
        .block = &kRouteBlock},
};
constexpr Block kServiceBlock = {.keys = kService, .named = true};

constexpr std::array kMemory = {
    Key{.name = "folder",
        .kind = Kind::Text,
        .about = "Where this instance alone keeps what it has promised, relative to the working folder.",
        .required = true,
        .live = false},
};
constexpr Block kMemoryBlock = {.keys = kMemory};

constexpr std::array kReplica = {
    Key{.name = "region",
        .kind = Kind::Name,
        .about = "Where it stands.",
        .otherwise = "not said",
        .live = false},
};
constexpr Block kReplicaBlock = {.keys = kReplica, .named = true, .address = true};

constexpr std::array kConfiguration = {
    Key{.name = "file",
        .kind = Kind::Text,
        .about = "The file that is replaced by each version, relative to the file that names it. It is "
                 "included here like "
                 "any other, so it has to be there at start; an empty one will do.",
        .required = true,
        .live = false},
    Key{.name = "region",
        .kind = Kind::Name,
        .about = "The region of this instance: replicas of the same one are asked first.",
        .otherwise = "the region of its fleet",
        .live = false},
    Key{.name = "replica",
        .kind = Kind::Block,
        .about = "A replica by its number, from 1, and the address of its calls.",
        .live = false,
        .block = &kReplicaBlock},
};
constexpr Block kConfigurationBlock = {.keys = kConfiguration, .includes_file = true};

constexpr std::array kStatus = {
    Key{.name = "listen",
        .kind = Kind::Address,
        .about = "Where GET /admission is answered; loopback only.",
        .otherwise = "nowhere",
        .live = false},
};
constexpr Block kStatusBlock = {.keys = kStatus};

constexpr std::array kLimits = {
    Key{.name = "sockets",
        .kind = Kind::Count,
        .about = "File descriptors that may be used.",
        .otherwise = "what the platform or the system gives",
        .least = 64,
        .most = kMostCount,
        .live = false},
    Key{.name = "memory",
        .kind = Kind::Size,
        .about =
            "What requests and their bodies are fitted to: three eighths for the buffers of all connections.",
        .otherwise = "what the platform says, else 256MiB",
        .least = 32.0 * 1024 * 1024,
        .most = 1024.0 * 1024 * 1024 * 1024,
        .live = false},
};
constexpr Block kLimitsBlock = {.keys = kLimits};

constexpr std::array kClients = {
    Key{.name = "first-byte",
        .kind = Kind::Duration,
        .about = "From a connection's acceptance to its first byte.",
        .fallback = "2.4s",
        .least = 10e3,
        .most = kHour,
        .risk_up = "connections that say nothing stay longer",
        .risk_down = "slow clients lose their connection"},
    Key{.name = "request",
        .kind = Kind::Duration,
        .about = "From there, or from a next request's first byte, to its last.",
        .fallback = "2.7s",
        .least = 10e3,
        .most = kHour,
        .risk_down = "slow uploads are answered 408"},
    Key{.name = "idle",
        .kind = Kind::Duration,
        .about = "Between an answer and the next request.",
        .fallback = "4s",
        .least = 10e3,
        .most = kHour,
        .risk_down = "a client's request may cross the closing of its connection"},
    Key{.name = "write",
        .kind = Kind::Duration,
        .about = "For the client to take its answer.",
        .fallback = "3s",
        .least = 10e3,
        .most = kHour},
    Key{.name = "linger",
        .kind = Kind::Duration,
        .about = "For the client to end its sending after an answer that closes its connection.",
        .fallback = "2.5s",
        .least = 10e3,
        .most = kHour},
};
constexpr Block kClientsBlock = {.keys = kClients};

constexpr std::array kUpstream = {
    Key{.name = "connect",
        .kind = Kind::Duration,
        .about = "For a connection to a host to be made.",
        .otherwise = "a quarter of the shortest aim, 20 to 250ms",
        .least = 1000,
        .most = 60 * kSecond,
        .risk_down = "hosts that are further away are taken for dead"},
    Key{.name = "idle",
        .kind = Kind::Duration,
        .about = "After this time hosts close connections that rest; ours close at 70% of it.",
        .otherwise = "what the platform says, else 10s",
        .least = 10e3,
        .most = kHour,
        .risk_up = "a request may cross the closing of its connection: only hosts that keep them so long"},
    Key{.name = "probe",
        .kind = Kind::Duration,
        .about = "For a probe to be answered.",
        .fallback = "500ms",
        .least = 1000,
        .most = 60 * kSecond},
    Key{.name = "answer",
        .kind = Kind::Duration,
        .about = "From an answer's first byte to its last.",
        .otherwise = "a quarter of the shortest aim, at least 20ms",
        .least = 1000,
        .most = kHour,
        .risk_down = "slow answers are lost, and what they answer may have run"},
};
constexpr Block kUpstreamBlock = {.keys = kUpstream};

constexpr std::array kAdmission = {
    Key{.name = "connections",
        .kind = Kind::Count,
        .about = "Clients' connections.",
        .otherwise = "what descriptors leave",
        .least = 1,
        .most = kMostCount,
        .bound = true,
        .risk_down = "clients may find no place"},
    Key{.name = "connections-per-address",
        .kind = Kind::Count,
        .about = "Of one address.",
        .otherwise = "no bound; who holds far more than others gives way first",
        .least = 1,
        .most = kMostCount,
        .bound = true,
        .risk_down = "clients behind one address may find no place"},
    Key{.name = "idle-kept",
        .kind = Kind::Count,
        .about = "Idle connections that are kept in any case.",
        .otherwise = "a 24th of the descriptors",
        .most = kMostCount},
    Key{.name = "open",
        .kind = Kind::Count,
        .about = "Requests open at once.",
        .otherwise = "what the platform says, else 20000",
        .least = 1,
        .most = kMostCount,
        .risk_up = "hosts may get more at once than they can take",
        .risk_down = "requests beyond this wait or are refused"},
    Key{.name = "waiting",
        .kind = Kind::Count,
        .about = "Requests that may wait for a place.",
        .otherwise = "an eighth of open",
        .most = kMostCount},
    Key{.name = "retries-least",
        .kind = Kind::Count,
        .about = "Clients' own marked repeats that may be open in any case.",
        .fallback = "64",
        .most = kMostCount},
    Key{.name = "retries-part",
        .kind = Kind::Percent,
        .about = "And beyond that, as a part of the open first tries.",
        .fallback = "100%",
        .most = 100,
        .risk_up = "clients' repeats may double the load of an outage"},
};
constexpr Block kAdmissionBlock = {.keys = kAdmission};

constexpr std::array kLog = {
    Key{.name = "level",
        .kind = Kind::Choice,
        .about = "What is written: errors; warnings too; everything.",
        .fallback = "info",
        .choices = "error warning info"},
};
constexpr Block kLogBlock = {.keys = kLog};

constexpr std::array kTop = {
    Key{.name = "listen",
        .kind = Kind::Address,
        .about = "Where clients are served.",
        .use = Use::Alone,
        .required = true,
        .live = false},
    Key{.name = "name",
        .kind = Kind::Name,
        .about = "The instance's name in its log.",
        .fallback = "quinceline",  // the program's first name; members know one another by it
        .use = Use::Alone,
        .live = false},
    Key{.name = "client",
        .kind = Kind::Count,
        .about =
            "This instance's number among all that use the same hosts, from 0: each has a subset of its own.",
        .fallback = "0",
        .most = 4e9,
        .use = Use::Alone,
        .live = false,
        .risk_up = "it uses another subset of the hosts",
        .risk_down = "it uses another subset of the hosts"},
    Key{.name = "zone",
        .kind = Kind::Name,
        .about = "Where this instance stands, by the name that hosts of the same zone have.",
        .otherwise = "the zone without a name",
        .use = Use::Alone,
        .live = false},
    Key{.name = "class",
        .kind = Kind::Block,
        .about = "A class of requests, by the first part of their path: /NAME/... Beside the platform's "
                 "configuration "
                 "it holds only shares; alone it says what the class is.",
        .risk_down = "its requests are answered 404",
        .block = &kClassBlock},
    Key{.name = "tenant",
        .kind = Kind::Block,
        .about = "Whom requests are counted for, by their X-Account.",
        .block = &kTenantBlock},
    Key{.name = "pool",
        .kind = Kind::Block,
        .about = "The hosts that serve. A file with a pool stands alone; one without adds to the platform's "
                 "configuration (PROXY_CONFIG).",
        .live = false,
        .risk_up = "the platform's configuration is no longer read",
        .risk_down = "the platform's configuration is needed",
        .block = &kPoolBlock},
    Key{.name = "clients",
        .kind = Kind::Block,
        .about = "Times of clients' connections.",
        .block = &kClientsBlock},
    Key{.name = "upstream",
        .kind = Kind::Block,
        .about = "Times of connections to hosts.",
        .block = &kUpstreamBlock},
    Key{.name = "admission",
        .kind = Kind::Block,
        .about = "How much is let in (docs/admission.md).",
        .block = &kAdmissionBlock},
    Key{.name = "limits", .kind = Kind::Block, .about = "What the process may use.", .block = &kLimitsBlock},
    Key{.name = "status", .kind = Kind::Block, .about = "The page for operators.", .block = &kStatusBlock},
    Key{.name = "fleet",
        .kind = Kind::Block,
        .about = "The other proxies that use the same hosts: with it they keep a view of who is there "
                 "(docs/fleet.md).",
        .otherwise = "nothing is sent to other proxies",
        .live = false,
        .risk_down = "nothing is known of the others",
        .block = &kFleetBlock},
    Key{.name = "service",
        .kind = Kind::Block,
        .about = "Requests that one zone alone may run at a time (docs/ownership.md).",
        .otherwise = "requests go to any zone",
        .live = false,
        .risk_down = "its requests go to any zone",
        .block = &kServiceBlock},
    Key{.name = "memory",
        .kind = Kind::Block,
        .about = "What is remembered over a power cut (docs/recovery.md).",
        .otherwise = "nothing is",
        .live = false,
        .risk_down = "after a power cut of the whole fleet it begins without what was promised",
        .block = &kMemoryBlock},
    Key{.name = "configuration",
        .kind = Kind::Block,
        .about = "A file that operators publish once for all proxies, and the replicas that have it "
                 "(docs/configuration.md).",
        .otherwise = "no replica is asked",
        .live = false,
        .risk_down = "what operators publish is no longer taken",
        .block = &kConfigurationBlock},
    Key{.name = "log", .kind = Kind::Block, .about = "The log, on standard error.", .block = &kLogBlock},
};

constexpr std::array kHosts = {kHostKey};
constexpr std::array kMembers = {kMemberKey};

}  // namespace

const Block kRoot = {.keys = kTop};
const Block kHostsFile = {.keys = kHosts};
const Block kMembersFile = {.keys = kMembers};

bool Block::lacksNothing() const {
  return std::none_of(keys.begin(), keys.end(), [](const Key& key) { return key.required; });
}

const Key* Block::find(std::string_view name) const {
  for (const Key& key : keys) {
    if (key.name == name) return &key;
  }
  return nullptr;
}

}  // namespace client_proxy::conf
