#include "wire_property.h"

#include <algorithm>
#include <boost/beast/http/error.hpp>
#include <cctype>
#include <stdexcept>
#include <utility>

#include "console/calls.h"
#include "hot_restart/frame.h"
#include "hot_restart/state.h"
#include "net/host_list.h"
#include "net/http.h"

namespace client_proxy::fuzz {
namespace {

using boost::system::error_code;

// What became of a message, and how far it was read.
struct Verdict {
  bool done = false, bad = false;
  std::size_t left = 0;
  bool operator==(const Verdict&) const = default;
};

// As the connections do: what has come is offered until more is needed.
template <typename Parser>
Verdict read(Parser& parser, std::string_view bytes, std::size_t piece) {
  ReadBuffer in;
  error_code ec;
  std::size_t at = 0;
  while (!parser.is_done()) {
    if (at == bytes.size()) return {.done = false, .bad = false, .left = in.size()};
    const std::size_t n = std::min(piece, bytes.size() - at);
    const auto space = in.space(n);
    std::copy_n(bytes.data() + at, n, static_cast<char*>(space.data()));
    in.commit(n);
    at += n;
    while (!parser.is_done() && in.size() > 0) {
      const std::size_t used = parser.put(in.data(), ec);
      in.consume(used);
      if (ec == http::error::need_more && in.size() <= kMostHead) break;
      if (ec) return {.done = false, .bad = true};
      if (parser.is_header_done()) parser.eager(true);
    }
  }
  return {.done = true, .bad = false, .left = in.size() + bytes.size() - at};
}

// Lines of a head, each "name: value" and its end; nothing else.
std::string brokenLines(std::string_view lines) {
  while (!lines.empty()) {
    const std::size_t end = lines.find("\r\n");
    if (end == std::string_view::npos) return "a line has no end";
    const std::string_view line = lines.substr(0, end);
    if (line.find_first_of(std::string_view("\r\n\0", 3)) != std::string_view::npos)
      return "a line has an end within";
    const std::size_t colon = line.find(": ");
    if (colon == 0 || colon == std::string_view::npos) return "a line has no name";
    std::string name(line.substr(0, colon));
    for (char& c : name) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    if (name == "content-length" || name == "transfer-encoding" || name == "connection" ||
        name == "x-time-left")
      return "a line of this hop goes on: " + name;
    lines.remove_prefix(end + 2);
  }
  return {};
}

}  // namespace

std::string brokenRequest(std::string_view bytes) {
  RequestParser whole;
  const Verdict verdict = read(whole, bytes, bytes.size());
  for (const std::size_t piece : {std::size_t{1}, std::size_t{7}}) {
    RequestParser pieces;
    const Verdict other = read(pieces, bytes, piece);
    // What is wrong with a message may show sooner in one than in the other, but it is taken by both or by
    // none.
    if (other.done != verdict.done) return "pieces make another verdict";
    if (!verdict.done) continue;
    if (other.left != verdict.left) return "pieces end elsewhere";
    if (pieces.head.forward != whole.head.forward || pieces.head.target != whole.head.target ||
        pieces.head.correlation != whole.head.correlation || pieces.head.ambiguous != whole.head.ambiguous ||
        pieces.body != whole.body)
      return "pieces make another request";
  }
  if (!verdict.done) return {};
  if (std::string broken = brokenLines(whole.head.forward); !broken.empty()) return broken;
  if (whole.head.ambiguous || !whole.head.has_host) return {};  // refused
  const std::string on = whole.head.method + " " + whole.head.target + " HTTP/1.1\r\n" + whole.head.forward +
                         "Content-Length: " + std::to_string(whole.body.size()) + "\r\n\r\n" + whole.body;
  RequestParser next;
  const Verdict there = read(next, on, on.size());
  if (!there.done || there.left != 0) return "what goes on is not one whole request";
  if (next.head.target != whole.head.target || next.head.correlation != whole.head.correlation ||
      next.body != whole.body || next.head.ambiguous)
    return "what goes on says something else";
  return {};
}

std::string brokenAnswer(std::string_view bytes) {
  ResponseParser whole;
  const Verdict verdict = read(whole, bytes, bytes.size());
  for (const std::size_t piece : {std::size_t{1}, std::size_t{7}}) {
    ResponseParser pieces;
    const Verdict other = read(pieces, bytes, piece);
    // What is wrong with a message may show sooner in one than in the other, but it is taken by both or by
    // none.
    if (other.done != verdict.done) return "pieces make another verdict";
    if (verdict.done && (other.left != verdict.left || pieces.status != whole.status ||
                         pieces.body != whole.body || pieces.load != whole.load))
      return "pieces make another answer";
  }
  if (!verdict.done) return {};
  if (whole.status < 100 || whole.status > 999) return "a status that is none";
  const auto length = whole.content_length();
  if (length && whole.body.size() > *length) return "more of a body than it has";
  return {};
}

std::string brokenFrame(std::string_view bytes) {
  const auto frame = hot_restart::decode(bytes);
  if (!frame) return {};
  if (frame->payload.size() > hot_restart::kMostPayload) return "a payload beyond the bound";
  return hot_restart::encode(*frame) == bytes ? "" : "it is written otherwise than it was read";
}

std::string brokenState(std::string_view bytes) {
  hot_restart::State state;
  try {
    state = hot_restart::fromText(bytes);
  } catch (const std::runtime_error&) {
    return {};
  }
  const std::string once = hot_restart::toText(state);
  if (hot_restart::toText(hot_restart::fromText(once)) != once) return "its text means something else";

  load_balancer::Settings settings;
  settings.classes.resize(1);
  settings.classes[0].latency_objective = settings.classes[0].deadline = 1'000'000;
  settings.slow_start_duration = 5'000'000;
  load_balancer::Balancer module(settings, 1);
  std::vector<load_balancer::Host> hosts(4);
  for (std::size_t i = 0; i < hosts.size(); ++i) hosts[i].id = "s-" + std::to_string(i + 1);
  load_balancer::Actions actions;
  constexpr load_balancer::Time kNow = 1'000'000'000;
  module.onServers(kNow, load_balancer::ListKind::Restored, hosts, actions);
  module.restore(kNow, state.servers, actions);
  if (module.knownServers() > hosts.size() + state.servers.size()) return "servers from nowhere";
  if (module.slotCount() > (1U << 20U) + hosts.size()) return "slots have no bound";
  bool all_out = true;
  for (const load_balancer::Host& h : hosts) {
    all_out &= std::any_of(state.servers.begin(), state.servers.end(),
                           [&](const auto& s) { return s.id == h.id && (s.in_maintenance || s.ejected); });
  }
  // Whatever is recalled: where a server is in use the tenth request at the latest finds it.
  bool sent = false;
  for (load_balancer::RequestId id = 1; id <= 10; ++id) {
    actions.clear();
    load_balancer::Request r;
    r.id = id;
    r.time_left = 1'000'000;
    module.onRequest(kNow + static_cast<load_balancer::Time>(id) * 1'000'000, r, actions);
    for (const load_balancer::Action& a : actions) sent |= a.kind == load_balancer::ActionKind::Send;
  }
  return sent || all_out ? "" : "nobody is asked any more";
}

std::string brokenCall(std::string_view bytes) {
  const std::size_t space = std::min(bytes.find(' '), bytes.size());
  const std::string_view method = bytes.substr(0, space);
  const std::string_view target = bytes.substr(std::min(space + 1, bytes.size()));
  const console::Read call = console::readCall(method, target);
  const bool named = call.call == console::Call::Maint || call.call == console::Call::Ready;
  if (named == call.host.empty()) return "an id that is none, or one too many";
  if (call.call == console::Call::None && call.status / 100 != 4) return "a fault that is none";
  if ((call.status == 405) == call.allow.empty()) return "405 without the method that it takes";
  if (std::any_of(call.host.begin(), call.host.end(),
                  [](char c) { return static_cast<unsigned char>(c) < 0x20; }) &&
      std::none_of(target.begin(), target.end(), [](char c) { return static_cast<unsigned char>(c) < 0x20; }))
    return "an id with what was written as an escape";
  return {};
}

std::string brokenHosts(std::string_view bytes) {
  Zones zones;
  HostList list;
  try {
    list = parseHostList(bytes, zones, BadEntry::PassOver);
  } catch (const std::runtime_error& e) {
    return *e.what() == '\0' ? "refused without a word" : "";
  }
  if (list.hosts.size() != list.endpoints.size()) return "hosts without a place";
  for (const load_balancer::Host& h : list.hosts) {
    if (h.id.empty() || !(h.capacity >= 0)) return "a host that is none";
  }
  const std::string once = formatHostList(list, zones);
  const HostList again = parseHostList(once, zones);
  return formatHostList(again, zones) == once ? "" : "its form means something else";
}

const std::vector<Target>& targets() {
  static const std::vector<Target> all = {{"request", brokenRequest}, {"answer", brokenAnswer},
                                          {"frame", brokenFrame},     {"state", brokenState},
                                          {"call", brokenCall},       {"hosts", brokenHosts}};
  return all;
}

}  // namespace client_proxy::fuzz
