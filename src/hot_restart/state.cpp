#include "hot_restart/state.h"

#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "hot_restart/frame.h"

namespace client_proxy::hot_restart {

using nlohmann::json;

namespace {

constexpr load_balancer::Time kMostClockOffset = 10'000'000'000'000'000;  // microseconds; some 300 years

// An id need not be UTF-8.
std::string textOf(const json& doc) { return doc.dump(-1, ' ', false, json::error_handler_t::replace); }

json toJson(const admission::RequestRecord& t) {
  return {
      {"id", t.id},       {"key", t.key},     {"safe", t.safe},          {"window", t.deduplication_window},
      {"began", t.began}, {"ended", t.ended}, {"never_ran", t.never_ran}};
}

// A number that is no whole one, or too large, has no meaning as a time or a slot, and converting it none at
// all.
template <typename T>
T whole(const json& from, const char* key) {
  const json& value = from.at(key);
  const auto number = value.is_number_integer() ? value.get<std::int64_t>() : 0;
  if (!value.is_number_integer() || number < std::numeric_limits<T>::min() ||
      number > std::numeric_limits<T>::max())
    throw std::runtime_error(std::string(key) + " is not a whole number: " + value.dump());
  return static_cast<T>(number);
}

// 0 stands for no time, the ends of the range for never and ever.
void shiftTime(load_balancer::Time& time, load_balancer::Time by) {
  using Limits = std::numeric_limits<load_balancer::Time>;
  if (time == 0 || time == Limits::max() || time == Limits::min()) return;
  if (__builtin_add_overflow(time, by, &time)) time = by > 0 ? Limits::max() : Limits::min();
}

std::vector<admission::RequestRecord> requestRecordOf(const json& list) {
  std::vector<admission::RequestRecord> out;
  for (const json& t : list) {
    out.push_back({t.at("id").get<std::string>(), t.at("key").get<std::string>(), t.at("safe").get<bool>(),
                   whole<admission::Time>(t, "window"), whole<admission::Time>(t, "began"),
                   whole<admission::Time>(t, "ended"), t.at("never_ran").get<bool>()});
  }
  return out;
}

load_balancer::Time clockOffsetOf(const json& doc) {
  const auto offset = whole<load_balancer::Time>(doc, "clock_offset");
  if (offset > kMostClockOffset || offset < -kMostClockOffset)
    throw std::runtime_error("clock_offset is out of range: " + std::to_string(offset));
  return offset;
}

}  // namespace

void shiftTimes(std::vector<admission::RequestRecord>& tried, load_balancer::Time by) {
  for (admission::RequestRecord& record : tried) {
    shiftTime(record.began, by);
    shiftTime(record.ended, by);
  }
}

void shiftTimes(State& state, load_balancer::Time by) {
  shiftTimes(state.tried, by);
  for (load_balancer::HostSnapshot& host : state.servers) {
    shiftTime(host.ejected_since, by);
    shiftTime(host.ejected_until, by);
    shiftTime(host.failure_score_at, by);
    shiftTime(host.slow_start_since, by);
  }
}

std::string toText(const State& state) {
  json servers = json::array();
  for (const load_balancer::HostSnapshot& s : state.servers) {
    servers.push_back({{"id", s.id},
                       {"slot", s.slot},
                       {"out_of_use", s.in_maintenance},
                       {"ejected", s.ejected},
                       {"silent", s.unresponsive},
                       {"ejected_since", s.ejected_since},
                       {"ejected_until", s.ejected_until},
                       {"strikes", s.failure_score},
                       {"struck_at", s.failure_score_at},
                       {"cold_since", s.slow_start_since},
                       {"slowness", s.latency_ratio}});
  }
  json tried = json::array();
  for (const admission::RequestRecord& t : state.tried) tried.push_back(toJson(t));
  json doc = {{"hosts", state.hosts}, {"servers", servers}, {"drained", state.drained}};
  if (state.tells_tried) doc["tried"] = tried;  // a process one release older neither says nor reads this
  if (!state.fleet.empty()) doc["fleet"] = state.fleet;
  if (state.clock_offset) doc["clock_offset"] = *state.clock_offset;
  return textOf(doc);
}

State fromText(std::string_view text) {
  try {
    const json doc = json::parse(text);
    State state;
    state.hosts = doc.at("hosts").get<std::string>();
    state.drained = doc.at("drained").get<bool>();
    state.tells_tried = doc.contains("tried");
    if (state.tells_tried) state.tried = requestRecordOf(doc.at("tried"));
    if (doc.contains("fleet")) state.fleet = doc.at("fleet").get<std::string>();
    if (doc.contains("clock_offset")) state.clock_offset = clockOffsetOf(doc);
    for (const json& s : doc.at("servers")) {
      load_balancer::HostSnapshot r;
      r.id = s.at("id").get<std::string>();
      r.slot = whole<std::int32_t>(s, "slot");
      r.in_maintenance = s.at("out_of_use").get<bool>();
      r.ejected = s.at("ejected").get<bool>();
      r.unresponsive = s.at("silent").get<bool>();
      r.ejected_since = whole<load_balancer::Time>(s, "ejected_since");
      r.ejected_until = whole<load_balancer::Time>(s, "ejected_until");
      r.failure_score = s.at("strikes").get<double>();
      r.failure_score_at = whole<load_balancer::Time>(s, "struck_at");
      r.slow_start_since = whole<load_balancer::Time>(s, "cold_since");
      r.latency_ratio = s.at("slowness").get<double>();
      state.servers.push_back(std::move(r));
    }
    return state;
  } catch (const json::exception& e) {
    throw std::runtime_error(std::string("the state is not whole: ") + e.what());
  }
}

std::vector<std::string> triedToTexts(std::span<const admission::RequestRecord> tried) {
  std::vector<std::string> texts;
  for (const admission::RequestRecord& t : tried) {
    const std::string one = textOf(toJson(t));
    if (one.size() + 2 > kMostPayload) continue;
    if (texts.empty() || texts.back().size() + one.size() + 2 > kMostPayload) texts.emplace_back();
    texts.back() += (texts.back().empty() ? "[" : ",") + one;
  }
  for (std::string& text : texts) text += "]";
  if (tried.empty()) texts.emplace_back("[]");
  return texts;
}

std::vector<admission::RequestRecord> triedFromText(std::string_view text) {
  try {
    return requestRecordOf(json::parse(text));
  } catch (const json::exception& e) {
    throw std::runtime_error(std::string("what was tried is not whole: ") + e.what());
  }
}

}  // namespace client_proxy::hot_restart
