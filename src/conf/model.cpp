#include "conf/model.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <utility>

namespace client_proxy::conf {
namespace {

// What holds for a key, converted; nothing where nothing was set and the schema has no fallback.
template <typename T>
std::optional<T> holds(const Section* section, std::string_view key) {
  if (section == nullptr) return std::nullopt;
  const std::optional<Setting> s = section->find(key);
  return s ? std::optional(static_cast<T>(s->number)) : std::nullopt;
}

// Only what was set: the fallback is a constant of the part that acts on it.
template <typename T>
std::optional<T> given(const Section* section, std::string_view key) {
  return section != nullptr && section->has(key) ? holds<T>(section, key) : std::nullopt;
}

constexpr std::uint32_t kMostMember = 65'535;

std::string textOf(const Section& section, std::string_view key) {
  const std::optional<Setting> s = section.find(key);
  return s ? s->text : std::string();
}

HostModel hostOf(const Section& s) {
  return {.name = s.name,
          .address = readAddress(s.address).value_or(Address{}),
          .at = s.at,
          .zone = textOf(s, "zone"),
          .cell = holds<std::int32_t>(&s, "cell").value_or(0),
          .capacity = holds<double>(&s, "capacity").value_or(1)};
}

std::vector<HostModel> hostsOf(const Section& section, const Sources& sources,
                               std::vector<Diagnostic>& found) {
  std::vector<HostModel> hosts;
  std::map<std::pair<std::string, std::uint16_t>, const Section*> holders;
  for (const Section& s : section.sections) {
    hosts.push_back(hostOf(s));
    const Address& a = hosts.back().address;
    const auto [it, first] = holders.try_emplace({a.host, a.port}, &s);
    if (first) continue;
    const Section& other = *it->second;
    found.push_back(
        {Severity::Error, s.at,
         "'" + s.name + "' has the address of '" + other.name + "' in " + sources.lineOf(other.at),
         "write its own: one machine under two names would get twice its share"});
  }
  return hosts;
}

// A member's or a replica's, from the name of its block; nothing: it is none, and 07 is not 7.
std::optional<std::uint16_t> numberOf(const std::string& name) {
  std::uint32_t number = 0;
  const char* const end = name.data() + name.size();
  const auto r = std::from_chars(name.data(), end, number);
  if (r.ec != std::errc{} || r.ptr != end || number > kMostMember || std::to_string(number) != name)
    return std::nullopt;
  return static_cast<std::uint16_t>(number);
}

std::vector<MemberModel> membersOf(const Section& section, const Sources& sources,
                                   std::vector<Diagnostic>& found) {
  std::vector<MemberModel> members;
  std::map<std::pair<std::string, std::uint16_t>, const Section*> holders;
  for (const Section& s : section.sections) {
    if (s.kind != "member") continue;
    MemberModel m;
    const std::optional<std::uint16_t> number = numberOf(s.name);
    if (!number) {
      found.push_back({Severity::Error, s.at, "'" + s.name + "' is no member's number",
                       "write the `client` of that proxy, 0 to " + std::to_string(kMostMember)});
      continue;
    }
    m.number = *number;
    m.address = readAddress(s.address).value_or(Address{});
    m.at = s.at;
    m.zone = textOf(s, "zone");
    m.region = textOf(s, "region");
    const auto [it, first] = holders.try_emplace({m.address.host, m.address.port}, &s);
    if (!first)
      found.push_back({Severity::Error, s.at,
                       "'member " + s.name + "' has the address of 'member " + it->second->name + "' in " +
                           sources.lineOf(it->second->at),
                       "write its own: a member is known by where its datagrams come from"});
    members.push_back(std::move(m));
  }
  return members;
}

class Builder {
 public:
  Builder(Configuration& out, std::string shared_file)
      : out_(out), root_(out.root), m_(out.model), shared_file_(std::move(shared_file)) {}

  void run() {
    alone_ = root_.wasTried("pool");
    if (const Section* const pool = root_.section("pool")) pool_at_ = pool->at;
    placesOfUse(root_);
    top();
    clients();
    admission();
    for (const Section& s : root_.sections) {
      if (s.kind == "class") m_.classes.push_back(classOf(s));
      if (s.kind == "tenant") m_.tenants.push_back(tenantOf(s));
      if (s.kind == "pool") pool(s);
    }
    if (alone_ && !root_.wasTried("class"))
      error(pool_at_, "no class of requests is there, so nothing would be served", "add class NAME { ... }");
    if (const Section* const fleet = root_.section("fleet")) this->fleet(*fleet);
    services();
    if (const Section* const shared = root_.section("configuration")) configuration(*shared);
    together();
  }

 private:
  void add(Severity severity, const Place& at, std::string message, std::string hint) {
    out_.found.push_back({severity, at, std::move(message), std::move(hint)});
  }
  void error(const Place& at, std::string message, std::string hint) {
    add(Severity::Error, at, std::move(message), std::move(hint));
  }
  void warn(const Place& at, std::string message, std::string hint) {
    add(Severity::Warning, at, std::move(message), std::move(hint));
  }
  // Where a key was set, for a message.
  Place placeOf(const Section* section, std::string_view key) const {
    if (section == nullptr) return {};
    for (const Setting& s : section->settings) {
      if (s.key->name == key) return s.at;
    }
    return section->at;
  }
  // Each key where it belongs, and those that a block can't do without.
  void placesOfUse(const Section& section) {
    for (const Setting& s : section.settings) {
      if (s.key->use == Use::Alone && !alone_)
        error(s.at, "'" + std::string(s.key->name) + "' is the platform's to say where a file has no pool",
              "delete it, or add pool NAME { ... } and let the file stand alone");
    }
    for (const Key& key : section.block->keys) {
      if (!key.required || section.wasTried(key.name) || (key.use == Use::Alone && !alone_)) continue;
      const std::string where = section.kind.empty() ? "a file with a pool" : "'" + section.title() + "'";
      error(section.kind.empty() ? pool_at_ : section.at, where + " lacks " + std::string(key.name),
            "add " + std::string(key.name) + " VALUE");
    }
    for (const Section& inner : section.sections) placesOfUse(inner);
  }

  void top() {
    if (const auto listen = root_.find("listen")) m_.listen = readAddress(listen->text).value_or(Address{});
    m_.name = textOf(root_, "name");
    m_.zone = textOf(root_, "zone");
    m_.client = holds<std::uint32_t>(&root_, "client").value_or(0);
    const Section* const status = root_.section("status");
    if (status != nullptr && status->has("listen")) {
      m_.status = readAddress(textOf(*status, "listen"));
      if (m_.status && !m_.status->loopback)
        error(placeOf(status, "listen"), "'" + textOf(*status, "listen") + "' is not a loopback address",
              "write 127.0.0.1:PORT: the page is for operators of this machine");
      if (m_.status && root_.has("listen") && *m_.status == m_.listen && m_.listen.port != 0)
        error(placeOf(status, "listen"), "clients are served there already", "write another port");
    }
    const Section* const limits = root_.section("limits");
    m_.sockets = given<std::size_t>(limits, "sockets");
    m_.memory = given<std::size_t>(limits, "memory");
    m_.log_level = static_cast<LogLevel>(
        given<int>(root_.section("log"), "level").value_or(static_cast<int>(LogLevel::Info)));
  }

  void clients() {
    const Section* const c = root_.section("clients");
    m_.first_byte = given<Micros>(c, "first-byte");
    m_.request = given<Micros>(c, "request");
    m_.idle = given<Micros>(c, "idle");
    m_.write = given<Micros>(c, "write");
    m_.linger = given<Micros>(c, "linger");
    const Section* const u = root_.section("upstream");
    m_.connect = given<Micros>(u, "connect");
    m_.upstream_idle = given<Micros>(u, "idle");
    m_.health_check_timeout = given<Micros>(u, "probe");
    m_.answer = given<Micros>(u, "answer");
  }

  void admission() {
    const Section* const a = root_.section("admission");
    m_.connections = given<std::size_t>(a, "connections");
    m_.connections_per_address = given<std::size_t>(a, "connections-per-address");
    m_.idle_kept = given<std::size_t>(a, "idle-kept");
    m_.open = given<std::size_t>(a, "open");
    m_.waiting = given<std::size_t>(a, "waiting");
    m_.retries_least = given<std::size_t>(a, "retries-least");
    m_.retries_part = given<double>(a, "retries-part");
  }

  Share shareOf(const Section& s) {
    Share share;
    share.guaranteed = holds<std::size_t>(&s, "guaranteed").value_or(0);
    share.most = given<std::size_t>(&s, "most");
    share.weight = given<double>(&s, "weight");
    if (share.most && share.guaranteed > *share.most)
      error(placeOf(&s, "guaranteed"), "'" + s.title() + "' is guaranteed more than the most it may have",
            "write at most " + std::to_string(*share.most));
    return share;
  }

  ClassModel classOf(const Section& s) {
    ClassModel c;
    c.name = s.name;
    c.at = s.at;
    c.share = shareOf(s);
    if (!alone_) return c;
    c.idempotency = static_cast<Idempotency>(holds<int>(&s, "effect").value_or(0));
    c.latency_objective = holds<Micros>(&s, "aim").value_or(0);
    c.deadline = holds<Micros>(&s, "deadline").value_or(0);
    c.deduplication_scope = static_cast<DeduplicationScope>(
        holds<int>(&s, "group").value_or(static_cast<int>(DeduplicationScope::All)));
    c.deduplication_window = holds<Micros>(&s, "window").value_or(0);
    c.attempts = given<std::int32_t>(&s, "attempts");
    c.priority_weight = holds<double>(&s, "worth").value_or(1);
    c.late_weight = holds<double>(&s, "late-worth").value_or(0);
    if (s.has("aim") && s.has("deadline") && c.deadline < c.latency_objective)
      error(placeOf(&s, "deadline"), "the deadline of '" + s.title() + "' is shorter than its aim",
            "write at least " + textOf(s, "aim"));
    const bool keyed = s.has("effect") && c.idempotency == Idempotency::IdempotentWithKey;
    if (keyed && !s.wasTried("window"))
      error(s.at, "'" + s.title() + "' is keyed and lacks window",
            "add window TIME: how long hosts drop its repeats");
    for (const std::string_view key : {"window", "group"}) {
      if (!keyed && s.has("effect") && s.has(key))
        error(placeOf(&s, key),
              "'" + std::string(key) + "' is for keyed classes, and '" + s.title() + "' is " +
                  textOf(s, "effect"),
              "delete it, or write effect keyed");
    }
    if (s.has("late-worth") && c.late_weight > 0 && c.deadline == c.latency_objective)
      warn(placeOf(&s, "late-worth"), "no answer of '" + s.title() + "' is late: its deadline is its aim",
           "delete it, or write a longer deadline");
    if (c.idempotency == Idempotency::NonIdempotent && s.has("effect") && c.attempts && *c.attempts > 1)
      warn(placeOf(&s, "attempts"),
           "'" + s.title() + "' is unsafe: it is sent again only if no earlier attempt can have run",
           "write 1, or leave it out");
    return c;
  }

  TenantModel tenantOf(const Section& s) {
    return {.name = s.name, .at = s.at, .part = holds<double>(&s, "share").value_or(0), .share = shareOf(s)};
  }

  void pool(const Section& s) {
    if (m_.pool)
      return error(s.at,
                   "there is a pool already, '" + m_.pool->name + "' in " + out_.sources.lineOf(m_.pool->at),
                   "keep one: this program serves one pool");
    PoolModel p;
    p.name = s.name;
    p.at = s.at;
    p.hosts = hostsOf(s, out_.sources, out_.found);
    if (s.has("hosts-file")) {
      const std::string path = textOf(s, "hosts-file");
      p.hosts_file_at = placeOf(&s, "hosts-file");
      p.hosts_file = pathFrom(out_.sources.name(p.hosts_file_at.file), path);
    }
    if (!s.wasTried("host") && !s.wasTried("hosts-file"))
      error(s.at, "'" + s.title() + "' has no host", "add host NAME ADDRESS:PORT, or hosts-file FILE");
    if (!p.hosts.empty() && !p.hosts_file.empty())
      error(p.hosts_file_at, "'" + s.title() + "' has hosts of its own and a hosts file",
            "keep one: which of the two would win is not to be guessed");
    p.attempts = holds<std::int32_t>(&s, "attempts").value_or(1);
    p.cancel = holds<int>(&s, "cancel") == 1;
    p.probe = holds<int>(&s, "probe") == 1;
    p.retry_after_most = holds<Micros>(&s, "retry-after-most").value_or(0);
    p.drain_grace = holds<Micros>(&s, "drain-grace").value_or(0);
    p.slow_start_initial_capacity = holds<double>(&s, "cold-from").value_or(1);
    p.slow_start_duration = holds<Micros>(&s, "cold-time").value_or(0);
    p.slow_start_overload_factor = holds<double>(&s, "cold-multiple").value_or(1);
    m_.pool = std::move(p);
    attempts_at_ = placeOf(&s, "attempts");
    attempts_set_ = s.has("attempts");
  }

  void fleet(const Section& s) {
    FleetModel f;
    f.at = s.at;
    f.name = textOf(s, "name");
    f.listen = readAddress(textOf(s, "listen")).value_or(Address{});
    f.region = textOf(s, "region");
    f.members = membersOf(s, out_.sources, out_.found);
    if (s.has("members-file")) {
      const Place at = placeOf(&s, "members-file");
      f.members_file = pathFrom(out_.sources.name(at.file), textOf(s, "members-file"));
      if (s.wasTried("member"))
        error(at, "'fleet' has members of its own and a members file",
              "keep one: which of the two would win is not to be guessed");
    } else if (!s.wasTried("member")) {
      error(s.at, "'fleet' has no member", "add member NUMBER ADDRESS:PORT for each, or members-file FILE");
    } else if (alone_ && out_.ok() &&
               std::none_of(f.members.begin(), f.members.end(),
                            [&](const MemberModel& m) { return m.number == m_.client; })) {
      error(s.at, "'fleet' lacks this instance, whose number is " + std::to_string(m_.client),
            "add member " + std::to_string(m_.client) + " ADDRESS:PORT, or write its number as client");
    }
    m_.fleet = std::move(f);
  }

  void configuration(const Section& s) {
    ConfigurationModel c;
    c.at = s.at;
    c.file = shared_file_;
    c.region = textOf(s, "region");
    std::map<std::pair<std::string, std::uint16_t>, const Section*> holders;
    for (const Section& r : s.sections) {
      if (const std::optional<ReplicaModel> replica = replicaOf(r)) c.replicas.push_back(*replica);
      const Address address = readAddress(r.address).value_or(Address{});
      const auto [it, first] = holders.try_emplace({address.host, address.port}, &r);
      if (!first)
        error(r.at,
              "'" + r.title() + "' has the address of '" + it->second->title() + "' in " +
                  out_.sources.lineOf(it->second->at),
              "write its own");
    }
    if (!s.wasTried("replica"))
      error(s.at, "'configuration' has no replica", "add replica NUMBER ADDRESS:PORT for each");
    m_.configuration = std::move(c);
  }

  std::optional<ReplicaModel> replicaOf(const Section& s) {
    const std::optional<std::uint16_t> number = numberOf(s.name);
    if (!number || *number == 0) {
      error(s.at, "'" + s.name + "' is no replica's number", "write 1 to " + std::to_string(kMostMember));
      return std::nullopt;
    }
    const Address address = readAddress(s.address).value_or(Address{});
    const bool clients = alone_ && address == m_.listen, operators = m_.status && address == *m_.status;
    if (clients || operators)
      error(s.at,
            "'" + s.title() + "' has this instance's own address, where " +
                (clients ? "clients are served" : "the status page is"),
            "write the replica's");
    return ReplicaModel{*number, address, s.at, textOf(s, "region")};
  }

  void services() {
    for (const Section& s : root_.sections) {
      if (s.kind == "service") m_.services.push_back(serviceOf(s));
      if (s.kind == "memory") m_.memory_folder = textOf(s, "folder");
    }
    if (m_.services.empty()) return;
    const Place at = m_.services.front().at;
    if (!m_.fleet)
      return error(at,
                   "'service " + m_.services.front().name + "' needs the other members' word on who has it",
                   "add fleet { ... }");
    for (const MemberModel& m : m_.fleet->members) {
      if (m.zone.empty())
        error(m.at, "'member " + std::to_string(m.number) + "' lacks its zone, by which services are granted",
              "add zone NAME");
    }
  }

  ServiceModel serviceOf(const Section& s) {
    ServiceModel out{.name = s.name,
                     .at = s.at,
                     .home = textOf(s, "home"),
                     .stand_by = textOf(s, "stand-by"),
                     .lease = holds<Micros>(&s, "lease").value_or(0),
                     .routes = {}};
    if (!out.home.empty() && out.home == out.stand_by)
      error(placeOf(&s, "stand-by"), "the stand-by of '" + s.title() + "' is its home", "write another zone");
    for (const Section& r : s.sections) {
      if (r.kind != "route") continue;
      out.routes.push_back({r.name, r.at, textOf(r, "path"), textOf(r, "method"), textOf(r, "class")});
    }
    if (!s.wasTried("route"))
      error(s.at, "'" + s.title() + "' has no route", "add route NAME { path /... } or { class NAME }");
    return out;
  }

  // What holds only in sight of one another.
  void together() {
    const Section* const a = root_.section("admission");
    sums("class", m_.classes);
    sums("tenant", m_.tenants);
    if (m_.connections && m_.connections_per_address && *m_.connections_per_address > *m_.connections)
      warn(placeOf(a, "connections-per-address"),
           "this bound is never reached: connections is " + std::to_string(*m_.connections),
           "write less, or delete it");
    if (m_.sockets && m_.connections && *m_.connections >= *m_.sockets)
      error(placeOf(a, "connections"),
            "more connections than sockets, which is " + std::to_string(*m_.sockets) + " in " +
                out_.sources.lineOf(placeOf(root_.section("limits"), "sockets")),
            "write less: hosts need a quarter of the sockets");
    if (m_.idle_kept && m_.connections && *m_.idle_kept > *m_.connections)
      error(placeOf(a, "idle-kept"),
            "more idle connections are kept than there may be, which is " + std::to_string(*m_.connections),
            "write less");
    double parts = 0;
    for (const TenantModel& t : m_.tenants) parts += t.part;
    if (parts > 1 + 1e-9)
      error(m_.tenants.back().at, "the shares of all tenants are more than 100%", "make some smaller");
    if (!m_.pool) return;
    Micros shortest = 0;
    const ClassModel* tightest = nullptr;
    for (const ClassModel& c : m_.classes) {
      if (c.deadline > 0 && (tightest == nullptr || c.deadline < shortest))
        shortest = c.deadline, tightest = &c;
    }
    if (tightest == nullptr) return;
    if (m_.connect && *m_.connect >= shortest)
      error(placeOf(root_.section("upstream"), "connect"),
            "a connection may take longer than 'class " + tightest->name + "' may wait, see " +
                out_.sources.lineOf(tightest->at),
            "write much less than its deadline");
    const bool unsafe = std::any_of(m_.classes.begin(), m_.classes.end(), [](const ClassModel& c) {
      return c.idempotency == Idempotency::NonIdempotent;
    });
    if (unsafe && attempts_set_ && m_.pool->attempts > kMostUnsafe)
      warn(attempts_at_,
           "an unsafe class is served with " + std::to_string(m_.pool->attempts) +
               " attempts: it is sent again only if no earlier attempt can have run, and each costs time",
           "write at most " + std::to_string(kMostUnsafe));
    for (const ClassModel& c : m_.classes) {
      if (c.idempotency == Idempotency::IdempotentWithKey && c.deduplication_window > 0 &&
          c.deduplication_window < c.latency_objective && m_.pool->attempts > 1)
        warn(c.at,
             "the window of 'class " + c.name + "' is shorter than its aim: late attempts are not repeated",
             "write a window of at least its aim, if hosts drop repeats for so long");
    }
  }

  template <typename Named>
  void sums(const char* kind, const std::vector<Named>& all) {
    std::size_t sum = 0;
    for (const Named& n : all) {
      sum += n.share.guaranteed;
      if (n.share.guaranteed == 0) continue;
      if (m_.open && sum > *m_.open)
        return error(n.at,
                     std::string("more is guaranteed to each ") + kind + " in all than there are places, " +
                         std::to_string(sum) + " of " + std::to_string(*m_.open),
                     "guarantee less, or raise open in admission");
      if (m_.sockets && sum > *m_.sockets)
        return error(n.at,
                     std::string("more is guaranteed to each ") + kind + " in all than there are sockets, " +
                         std::to_string(sum) + " of " + std::to_string(*m_.sockets),
                     "guarantee less, or raise sockets in limits");
    }
  }

  static constexpr std::int32_t kMostUnsafe = 6;

  Configuration& out_;
  const Section& root_;
  Model& m_;
  const std::string shared_file_;  // that is included, in its one form
  bool alone_ = false, attempts_set_ = false;
  Place pool_at_, attempts_at_;
};

// Checks by `block` what was loaded. Its text and what was found go to `out`.
template <typename File>
Section checked(Loaded& loaded, const Block& block, File& out) {
  out.sources = std::move(loaded.sources);
  out.found = std::move(loaded.found);
  return check(block, loaded.statements, out.sources, out.found);
}

// A file that was cut short would take all its entries away, so one without any is an error.
template <typename File>
void requireEntries(bool none, const char* problem, const char* advice, File& out) {
  if (none && out.ok()) out.found.push_back({Severity::Error, {0, 1, 1, 1}, problem, advice});
}

}  // namespace

bool Configuration::ok() const { return noErrors(found); }
bool HostsFile::ok() const { return noErrors(found); }

Configuration readConfiguration(FileSource& files, const std::string& path) {
  Configuration out;
  Loaded loaded = load(files, path);
  out.root = checked(loaded, kRoot, out);
  Builder(out, std::move(loaded.shared_file)).run();
  return out;
}

HostsFile readHostsFile(FileSource& files, const std::string& path) {
  HostsFile out;
  Loaded loaded = load(files, path);
  const Section root = checked(loaded, kHostsFile, out);
  out.hosts = hostsOf(root, out.sources, out.found);
  requireEntries(out.hosts.empty(), "no host is there", "add host NAME ADDRESS:PORT", out);
  return out;
}

bool MembersFile::ok() const { return noErrors(found); }

MembersFile readMembersFile(FileSource& files, const std::string& path) {
  MembersFile out;
  Loaded loaded = load(files, path);
  const Section root = checked(loaded, kMembersFile, out);
  out.members = membersOf(root, out.sources, out.found);
  requireEntries(out.members.empty(), "no member is there", "add member NUMBER ADDRESS:PORT", out);
  return out;
}

std::string oneLine(const Diagnostic& diagnostic, const Sources& sources) {
  const std::string whole = render(diagnostic, sources);
  return whole.substr(0, whole.find('\n'));
}

}  // namespace client_proxy::conf
