// Connects a simulator to the load balancer library over stdin and stdout. Each input line is an event with
// tab-separated fields; the adapter parses it, calls the Balancer of the instance that it names and writes
// the resulting actions, one a line. Events come in rounds (ROUND to EOB), and each round is answered by its
// actions and EOR. The adapter makes no decisions of its own.
#include <array>
#include <charconv>
#include <iostream>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "load_balancer/balancer.h"
#include "platform/settings.h"

namespace load_balancer::simulator_adapter {

using platform::BadField;
using platform::isInFlightGauge;
using platform::parseSettings;

namespace {

// Reads the tab-separated fields of one line from left to right. `name` is the field's name in error
// messages; every function throws BadField if the field is missing or malformed.
class Fields {
 public:
  explicit Fields(std::string_view line) : rest_(line) {}

  // The next field, which may be empty.
  std::string_view text(const char* name) {
    if (done_) throw BadField(name, "is missing");
    const std::size_t tab = rest_.find('\t');
    const std::string_view part = rest_.substr(0, tab);
    if (tab == std::string_view::npos) {
      done_ = true;
    } else {
      rest_.remove_prefix(tab + 1);
    }
    return part;
  }

  // The next field, which must be neither empty nor "-", the wire's mark for an absent value.
  std::string_view required(const char* name) {
    const std::string_view part = text(name);
    if (part.empty() || part == "-") throw BadField(name, "is empty");
    return part;
  }

  // The rest of the line with its tabs.
  std::string_view remainder(const char* name) {
    if (done_) throw BadField(name, "is missing");
    done_ = true;
    return rest_;
  }

  template <typename T>
  T number(const char* name) {
    return parse<T>(required(name), name, 10);
  }

  // `fallback` if the field is empty, "-" or not there.
  template <typename T>
  T numberOr(const char* name, T fallback) {
    if (done_) return fallback;
    const std::string_view part = text(name);
    return part == "-" || part.empty() ? fallback : parse<T>(part, name, 10);
  }

  RequestId request(const char* name) {
    const std::string_view part = required(name);
    if (part.size() != 16) throw BadField(name, "is not 16 hex digits");
    return parse<RequestId>(part, name, 16);
  }

  bool flag(const char* name) {
    const int v = number<int>(name);
    if (v != 0 && v != 1) throw BadField(name, "is not 0 or 1");
    return v == 1;
  }

  template <typename T>
  static T parse(std::string_view part, const char* name, int base) {
    T value{};
    std::from_chars_result r{};
    if constexpr (std::is_floating_point_v<T>) {
      r = std::from_chars(part.data(), part.data() + part.size(), value);
    } else {
      r = std::from_chars(part.data(), part.data() + part.size(), value, base);
    }
    if (r.ec != std::errc{} || r.ptr != part.data() + part.size()) {
      throw BadField(name, "is not a number: " + std::string(part));
    }
    return value;
  }

  // Throws if fields are left.
  void end() const {
    if (!done_) throw BadField("end of line", "has more fields than the message");
  }

 private:
  std::string_view rest_;
  bool done_ = false;
};

// Parses "name:value,name:value"; "-" or an empty field is a report without values.
LoadReport parseReport(std::string_view text, const char* name) {
  LoadReport report;
  if (text == "-" || text.empty()) return report;
  while (!text.empty()) {
    const std::size_t comma = text.find(',');
    const std::string_view pair = text.substr(0, comma);
    text = comma == std::string_view::npos ? std::string_view{} : text.substr(comma + 1);
    const std::size_t colon = pair.find(':');
    if (colon == std::string_view::npos) throw BadField(name, "lacks a colon: " + std::string(pair));
    const double value = Fields::parse<double>(pair.substr(colon + 1), name, 10);
    // The library uses one value; the others must be well-formed too.
    if (isInFlightGauge(pair.substr(0, colon))) report.in_flight = value;
  }
  return report;
}

Result parseResult(int code, const char* name) {
  switch (code) {
    case 0:
      return Result::Ok;
    case 1:
      return Result::Cancelled;
    case 4:
      return Result::TimedOut;
    case 8:
      return Result::Rejected;
    case 9:
      return Result::NotSent;
    case 10:
      return Result::Reset;
    case 13:
      return Result::Error;
    case 14:
      return Result::ConnectFailed;
    default:
      throw BadField(name, "is unknown: " + std::to_string(code));
  }
}

class Adapter {
 public:
  // Processes rounds until the end of the input. Returns false after reporting an invalid line on stderr.
  bool run(std::istream& in, std::ostream& out) {
    std::string line;
    while (std::getline(in, line)) {
      ++line_;
      if (!line.empty() && line.back() == '\r') line.pop_back();
      try {
        if (remaining_hosts_ > 0) {
          readHostLine(line);
        } else if (readEventLine(line)) {
          reply_ += "EOR\n";
          out.write(reply_.data(), static_cast<std::streamsize>(reply_.size()));
          out.flush();
          reply_.clear();
        }
      } catch (const BadField& e) {
        return reportError("field " + e.field + ' ' + e.what());
      } catch (const std::invalid_argument& e) {
        return reportError(std::string("field config: ") + e.what());
      }
    }
    if (in_round_ || remaining_hosts_ > 0) {
      ++line_;
      return reportError("field EOB is missing: the input ends within a round");
    }
    return true;
  }

 private:
  struct Instance {
    std::string name;
    std::unique_ptr<Balancer> balancer;
  };
  struct NameHash {
    using is_transparent = void;
    std::size_t operator()(std::string_view s) const { return std::hash<std::string_view>{}(s); }
  };

  bool reportError(const std::string& what) const {
    std::cerr << "simulator_adapter: line " << line_ << ": " << what << '\n';
    return false;
  }

  // The running instance that the next field names.
  Instance& instance(Fields& f) {
    const std::string_view name = f.required("i");
    const auto it = instances_.find(name);
    if (it == instances_.end() || !it->second.balancer) {
      throw BadField("i", "names an instance that was not started: " + std::string(name));
    }
    return it->second;
  }

  // Handles one line of a round; true if the line ends the round.
  bool readEventLine(std::string_view line) {
    Fields f(line);
    const std::string_view type = f.text("message");
    if (type == "ROUND") {
      if (in_round_) throw BadField("message", "is ROUND before the EOB of the previous round");
      now_ = f.number<Time>("clock");
      f.end();
      in_round_ = true;
      return false;
    }
    if (!in_round_) throw BadField("message", "is outside a round: " + std::string(type));
    if (type == "EOB") {
      f.end();
      in_round_ = false;
      return true;
    }
    if (type == "DIRECTORY") {
      beginHostList(f);
    } else if (type == "POWER_ON") {
      powerOn(f);
    } else if (type == "RETIRE") {
      instance(f).balancer.reset();
      f.end();
    } else {
      Instance& target = instance(f);
      dispatchEvent(type, *target.balancer, f);
      appendActions(target.name);
    }
    return false;
  }

  void powerOn(Fields& f) {
    const std::string_view name = f.required("i");
    const std::uint64_t seed = f.number<std::uint64_t>("init_seed");
    Instance& target = instances_[std::string(name)];
    target.name = name;
    target.balancer = std::make_unique<Balancer>(parseSettings(f.remainder("config")), seed);
  }

  void dispatchEvent(std::string_view type, Balancer& b, Fields& f) {
    if (type == "JOB_IN") {
      Request r;
      r.id = f.request("corr");
      r.time_left = f.number<Time>("left_us");
      const Time hint = f.numberOr<Time>("predicted_us", 0);
      r.tenant = f.numberOr<std::int32_t>("billing", kUnset);
      r.request_class = f.number<std::int32_t>("qos");
      r.key = f.numberOr<std::int64_t>("name_key", kUnset);
      const unsigned bits = f.numberOr<unsigned>("state_bits", 0);
      f.end();
      r.expected_work = (bits & 1U) != 0 ? hint : 0;
      b.onRequest(now_, r, actions_);
    } else if (type == "RETURNED") {
      Outcome o;
      o.request = f.request("corr");
      o.attempt = f.number<std::int32_t>("round_no");
      o.result = parseResult(f.number<int>("disposition"), "disposition");
      o.final = f.flag("terminal");
      o.latency = f.numberOr<Time>("latency_us", 0);
      f.required("host");
      o.load = parseReport(f.text("gauge"), "gauge");
      f.end();
      b.onOutcome(now_, o, actions_);
    } else if (type == "ELAPSED") {
      const std::uint64_t handle = f.number<std::uint64_t>("handle");
      f.end();
      b.onTimer(now_, handle, actions_);
    } else if (type == "FLEET") {
      updateHosts(b, f);
    } else if (type == "STREAMING") {
      const RequestId id = f.request("corr");
      const std::int32_t attempt = f.number<std::int32_t>("round_no");
      f.required("host");
      f.numberOr<Time>("latency_us", 0);
      f.end();
      b.onResponseStarted(now_, id, attempt, actions_);
    } else if (type == "LEFT") {
      const RequestId id = f.request("corr");
      f.end();
      b.onClientDisconnected(now_, id, actions_);
    } else if (type == "SAMPLED") {
      const std::string_view host = f.required("host");
      const Result result = parseResult(f.number<int>("disposition"), "disposition");
      const Time latency = f.numberOr<Time>("latency_us", 0);
      const LoadReport load = parseReport(f.text("gauge"), "gauge");
      f.end();
      b.onHealthCheck(now_, host, result == Result::Ok, latency, load, actions_);
    } else if (type == "MESSAGE") {
      // Balancers share no state, so messages between peers are ignored.
      f.number<std::int32_t>("sender");
      f.text("data");
      f.end();
    } else {
      throw BadField("message", "is unknown: " + std::string(type));
    }
  }

  // The host list whose id is the next field.
  std::vector<Host>& hostListAt(Fields& f) {
    const int id = f.number<int>("roster_id");
    if (id < 0 || id >= static_cast<int>(host_lists_.size())) throw BadField("roster_id", "is not 0 to 15");
    return host_lists_[static_cast<std::size_t>(id)];
  }

  // DIRECTORY: the lines that follow replace the hosts of one list.
  void beginHostList(Fields& f) {
    std::vector<Host>& hosts = hostListAt(f);
    const int count = f.number<int>("nodes_list");
    f.end();
    if (count < 0) throw BadField("nodes_list", "is negative");
    hosts.clear();
    open_list_ = &hosts;
    remaining_hosts_ = count;
  }

  // One host of the list that is being read.
  void readHostLine(std::string_view line) {
    Fields f(line);
    if (f.text("message") != "M") throw BadField("message", "is not M, but the list has more entries");
    Host h;
    h.started_at = f.numberOr<Time>("up_since_us", 0);
    h.zone = f.numberOr<std::int32_t>("site", 0);
    h.capacity = f.numberOr<double>("capacity_hint", 1);
    const std::string_view state = f.required("state");
    if (state == "healthy") {
      h.state = HostState::Healthy;
    } else if (state == "cordoned") {
      h.state = HostState::Draining;
    } else if (state == "deregistered") {
      h.state = HostState::Removed;
    } else {
      throw BadField("state", "is unknown: " + std::string(state));
    }
    h.id = f.required("host");
    (void)f.numberOr<std::int32_t>("model", 0);
    h.cell = f.numberOr<std::int32_t>("group", 0);
    f.end();
    open_list_->push_back(std::move(h));
    --remaining_hosts_;
  }

  // FLEET: passes one of the lists to the instance as an update from discovery.
  void updateHosts(Balancer& b, Fields& f) {
    const std::string_view mode = f.required("mode");
    ListKind kind = ListKind::Changes;
    if (mode == "replace") {
      kind = ListKind::Full;
    } else if (mode == "restored") {
      kind = ListKind::Restored;
    } else if (mode == "unavailable") {
      b.onServers(now_, ListKind::Unavailable, {}, actions_);
      return;
    } else if (mode != "update") {
      throw BadField("mode", "is unknown: " + std::string(mode));
    }
    f.text("version");
    const std::vector<Host>& hosts = hostListAt(f);
    f.end();
    b.onServers(now_, kind, hosts, actions_);
  }

  // Append to the reply; numbers and request ids with a tab before them.
  void append(std::string_view text) { reply_ += text; }
  template <typename T>
  void appendNumber(T value) {
    std::array<char, 24> buffer;
    const auto r = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value);
    reply_ += '\t';
    reply_.append(buffer.data(), r.ptr);
  }
  void appendRequestId(RequestId id) {
    static constexpr char kDigits[] = "0123456789abcdef";
    reply_ += '\t';
    for (int shift = 60; shift >= 0; shift -= 4) reply_ += kDigits[(id >> shift) & 15U];
  }
  void beginAction(std::string_view type, std::string_view name) {
    append(type);
    reply_ += '\t';
    append(name);
  }

  // Appends all pending actions, as those of instance `name`, and clears them.
  void appendActions(std::string_view name) {
    for (const Action& a : actions_) {
      switch (a.kind) {
        case ActionKind::Send:
          beginAction("PLACE", name);
          appendRequestId(a.request);
          reply_ += '\t';
          append(a.server);
          appendNumber(a.time);
          break;
        case ActionKind::Cancel:
          beginAction("STOP_ATTEMPT", name);
          appendRequestId(a.request);
          appendNumber(a.attempt);
          break;
        case ActionKind::Reject:
          beginAction("DECLINE", name);
          appendRequestId(a.request);
          appendNumber(a.time);
          break;
        case ActionKind::Fail:
          beginAction("DROP_REQUEST", name);
          appendRequestId(a.request);
          break;
        case ActionKind::HealthCheck:
          beginAction("INSPECT", name);
          reply_ += '\t';
          append(a.server);
          break;
        case ActionKind::Subscribe:
          beginAction("WATCH", name);
          appendNumber(1);
          break;
        case ActionKind::SetTimer:
          beginAction("AFTER", name);
          appendNumber(a.time);
          appendNumber(a.timer);
          break;
        case ActionKind::Log:
          beginAction("TRACE", name);
          reply_ += '\t';
          append(a.text);
          break;
      }
      reply_ += '\n';
    }
    actions_.clear();
  }

  std::unordered_map<std::string, Instance, NameHash, std::equal_to<>> instances_;
  std::array<std::vector<Host>, 16> host_lists_;
  std::vector<Host>* open_list_ = nullptr;
  int remaining_hosts_ = 0;
  bool in_round_ = false;
  Time now_ = 0;
  std::size_t line_ = 0;
  Actions actions_;
  std::string reply_;
};

}  // namespace
}  // namespace load_balancer::simulator_adapter

int main() {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  load_balancer::simulator_adapter::Adapter adapter;
  return adapter.run(std::cin, std::cout) ? 0 : 1;
}
