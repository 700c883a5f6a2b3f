#include "scenario.h"

#include <algorithm>
#include <array>
#include <charconv>

#include "conf/check.h"

namespace client_proxy::rig {
namespace {

using conf::Block;
using conf::Diagnostic;
using conf::Key;
using conf::Kind;
using conf::Section;
using conf::Severity;

constexpr std::array kClass = {
    Key{.name = "effect",
        .kind = Kind::Choice,
        .about = "What a second run would do.",
        .fallback = "safe",
        .choices = "safe unsafe"},
    Key{.name = "aim",
        .kind = Kind::Duration,
        .about = "The time it should take.",
        .fallback = "800ms",
        .least = 1},
    Key{.name = "deadline",
        .kind = Kind::Duration,
        .about = "The time after which nobody waits.",
        .fallback = "2.5s",
        .least = 1},
    Key{.name = "share",
        .kind = Kind::Number,
        .about = "Of the calls, beside the others' shares.",
        .fallback = "1"},
};
constexpr Block kClassBlock = {.keys = kClass, .named = true};

constexpr std::array kZone = {
    Key{.name = "region", .kind = Kind::Name, .about = "The region that it lies in.", .otherwise = "none"},
    Key{.name = "hosts", .kind = Kind::Count, .about = "How many.", .fallback = "4", .most = 500},
    Key{.name = "cores",
        .kind = Kind::Count,
        .about = "Of each host.",
        .fallback = "2",
        .least = 1,
        .most = 64},
    Key{.name = "queue", .kind = Kind::Count, .about = "How many requests wait at a host.", .fallback = "64"},
    Key{.name = "work",
        .kind = Kind::Duration,
        .about = "What a request takes of a core, at the mean.",
        .fallback = "10ms",
        .least = 1},
};
constexpr Block kZoneBlock = {.keys = kZone, .named = true};

constexpr std::array kCallers = {
    Key{.name = "rate",
        .kind = Kind::Number,
        .about = "Calls a second at a proxy, at the mean.",
        .fallback = "4",
        .least = 0.01,
        .most = 1000},
    Key{.name = "busy-every",
        .kind = Kind::Count,
        .about = "Every so many-th proxy is called more often.",
        .otherwise = "none is"},
    Key{.name = "busy-times",
        .kind = Kind::Number,
        .about = "So many times as often.",
        .fallback = "5",
        .least = 1,
        .most = 100},
};
constexpr Block kCallersBlock = {.keys = kCallers};

// A step's faults: keys with what they are about.
struct FaultKey {
  std::string_view name;
  Fault fault;
};
constexpr std::array kFaults = {
    FaultKey{"kill", Fault::Kill},
    FaultKey{"freeze", Fault::Freeze},
    FaultKey{"end", Fault::End},
    FaultKey{"upgrade", Fault::Upgrade},
    FaultKey{"cut", Fault::Cut},
    FaultKey{"cut-hosts", Fault::HostsCut},
    FaultKey{"deaf", Fault::Deaf},
    FaultKey{"loss", Fault::Loss},
    FaultKey{"kill-host", Fault::HostKill},
    FaultKey{"leave-host", Fault::HostLeave},
    FaultKey{"discovery", Fault::Discovery},
};

constexpr std::array kStep = {
    Key{.name = "at",
        .kind = Kind::Duration,
        .about = "When, counted from the first call.",
        .required = true},
    Key{.name = "for",
        .kind = Kind::Duration,
        .about = "After this time it is undone.",
        .otherwise = "it stays"},
    Key{.name = "times",
        .kind = Kind::Count,
        .about = "How often.",
        .fallback = "1",
        .least = 1,
        .most = 100},
    Key{.name = "every",
        .kind = Kind::Duration,
        .about = "From one time to the next.",
        .otherwise = "needed with `times`"},
    Key{.name = "kill", .kind = Kind::Count, .about = "SIGKILL to a proxy; undone by its start."},
    Key{.name = "freeze", .kind = Kind::Count, .about = "SIGSTOP to a proxy; undone by SIGCONT."},
    Key{.name = "end", .kind = Kind::Count, .about = "SIGTERM to a proxy; undone by its start."},
    Key{.name = "upgrade", .kind = Kind::Count, .about = "A new process takes a proxy's place."},
    Key{.name = "cut", .kind = Kind::Name, .about = "A zone from all others and from discovery."},
    Key{.name = "cut-hosts", .kind = Kind::Name, .about = "A zone's hosts; the proxies hear one another."},
    Key{.name = "deaf", .kind = Kind::Count, .about = "No datagram of this proxy reaches another."},
    Key{.name = "loss", .kind = Kind::Percent, .about = "Of all datagrams.", .most = 1},
    Key{.name = "kill-host", .kind = Kind::Count, .about = "A host ends; undone by its cold start."},
    Key{.name = "leave-host", .kind = Kind::Count, .about = "A host drains; undone when it is active."},
    Key{.name = "discovery", .kind = Kind::Choice, .about = "Discovery is down.", .choices = "down"},
};
constexpr Block kStepBlock = {.keys = kStep, .named = true};

constexpr std::array kTop = {
    Key{.name = "seed", .kind = Kind::Count, .about = "Of all chance in the run.", .fallback = "1"},
    Key{.name = "proxies",
        .kind = Kind::Count,
        .about = "Processes of the program.",
        .fallback = "12",
        .least = 1,
        .most = 400},
    Key{.name = "lasts",
        .kind = Kind::Duration,
        .about = "How long the callers call.",
        .fallback = "10s",
        .least = 1},
    Key{.name = "callers", .kind = Kind::Block, .about = "The applications.", .block = &kCallersBlock},
    Key{.name = "class", .kind = Kind::Block, .about = "A kind of request.", .block = &kClassBlock},
    Key{.name = "zone",
        .kind = Kind::Block,
        .about = "A zone with its hosts; proxies are spread over all.",
        .block = &kZoneBlock},
    Key{.name = "step",
        .kind = Kind::Block,
        .about = "A fault, and when it is undone.",
        .block = &kStepBlock},
};
constexpr Block kFile = {.keys = kTop};

double numberOf(const Section& s, std::string_view key) {
  const auto found = s.find(key);
  return found ? found->number : 0;
}
std::size_t countOf(const Section& s, std::string_view key) {
  return static_cast<std::size_t>(numberOf(s, key));
}
Span spanOf(const Section& s, std::string_view key) {
  return Span(static_cast<std::int64_t>(numberOf(s, key)));
}
std::string textOf(const Section& s, std::string_view key) {
  const auto found = s.find(key);
  return found ? found->text : std::string();
}

class Reader {
 public:
  explicit Reader(std::vector<Diagnostic>& found) : found_(found) {}

  Plan read(const Section& root) {
    plan_.seed = countOf(root, "seed");
    plan_.proxies = countOf(root, "proxies");
    plan_.lasting = spanOf(root, "lasts");
    for (const Section& s : root.sections) {
      if (s.kind == "callers") {
        plan_.callers = {.rate = numberOf(s, "rate"),
                         .busy_every = countOf(s, "busy-every"),
                         .busy_times = numberOf(s, "busy-times")};
      } else if (s.kind == "class") {
        plan_.classes.push_back({.name = s.name,
                                 .idempotency = textOf(s, "effect") == "safe" ? Idempotency::Idempotent
                                                                              : Idempotency::NonIdempotent,
                                 .latency_objective = spanOf(s, "aim"),
                                 .deadline = spanOf(s, "deadline"),
                                 .share = numberOf(s, "share")});
      } else if (s.kind == "zone") {
        plan_.zones.push_back({.name = s.name,
                               .region = textOf(s, "region"),
                               .hosts = countOf(s, "hosts"),
                               .cores = countOf(s, "cores"),
                               .queue = countOf(s, "queue"),
                               .work = spanOf(s, "work")});
      }
    }
    if (plan_.classes.empty()) wrong(root.at, "no class is there", "write class NAME { }");
    if (plan_.hosts() == 0) wrong(root.at, "no zone with a host is there", "write zone NAME { }");
    for (const Section& s : root.sections) {
      if (s.kind == "step") step(s);
    }
    return plan_;
  }

 private:
  void wrong(const conf::Place& at, std::string message, std::string hint) {
    found_.push_back({Severity::Error, at, std::move(message), std::move(hint)});
  }

  void step(const Section& s) {
    Step step{.name = s.name,
              .at = spanOf(s, "at"),
              .lasting = spanOf(s, "for"),
              .times = countOf(s, "times"),
              .every = spanOf(s, "every")};
    if (!s.has("at")) wrong(s.at, s.title() + " does not say when", "write `at` with a duration");
    const FaultKey* chosen = nullptr;
    for (const FaultKey& f : kFaults) {
      if (!s.has(f.name)) continue;
      if (chosen != nullptr) {
        const std::string both = "'" + std::string(chosen->name) + "' and '" + std::string(f.name) + "'";
        wrong(s.at, s.title() + " holds both " + both, "write a step for each");
      }
      chosen = &f;
    }
    if (chosen == nullptr) return wrong(s.at, s.title() + " holds no fault", "write kill, cut, ... in it");
    step.fault = chosen->fault;
    if (step.times > 1 && (step.every <= step.lasting || step.lasting.count() == 0))
      wrong(s.at, s.title() + " comes again before it is undone", "write `for`, and a longer `every`");
    subject(s, *chosen, step);
    plan_.steps.push_back(step);
  }

  void subject(const Section& s, const FaultKey& key, Step& step) {
    const conf::Place at = s.find(key.name)->at;
    const auto below = [&](std::size_t most, const char* what) {
      step.subject = countOf(s, key.name);
      if (step.subject >= most)
        wrong(at, "there is no " + std::string(what) + " " + std::to_string(step.subject),
              "they are numbered from 0 to " + std::to_string(most - 1));
    };
    switch (step.fault) {
      case Fault::HostsCut:
      case Fault::Cut: {
        const std::string name = textOf(s, key.name);
        const auto it = std::find_if(plan_.zones.begin(), plan_.zones.end(),
                                     [&](const ZonePlan& z) { return z.name == name; });
        if (it == plan_.zones.end())
          return wrong(at, "'" + name + "' is no zone", "write one that is in the file");
        step.subject = static_cast<std::size_t>(it - plan_.zones.begin());
        return;
      }
      case Fault::Loss:
        step.part = numberOf(s, key.name);
        return;
      case Fault::Discovery:
        return;
      case Fault::HostKill:
      case Fault::HostLeave:
        return below(plan_.hosts(), "host");
      default:
        return below(plan_.proxies, "proxy");
    }
  }

  std::vector<Diagnostic>& found_;
  Plan plan_;
};

}  // namespace

Scenario readScenario(conf::FileSource& files, const std::string& path) {
  conf::Loaded loaded = conf::load(files, path);
  Scenario scenario;
  Plan plan;
  if (loaded.ok()) {
    const Section root = conf::check(kFile, loaded.statements, loaded.sources, loaded.found);
    if (conf::noErrors(loaded.found)) plan = Reader(loaded.found).read(root);
  }
  for (const Diagnostic& d : loaded.found) scenario.wrong.push_back(conf::render(d, loaded.sources));
  if (conf::noErrors(loaded.found)) scenario.plan = std::move(plan);
  return scenario;
}

}  // namespace client_proxy::rig
