#include "fleet_property.h"

#include <stdexcept>
#include <vector>

#include "fleet/fleet.h"
#include "fleet_transport/membership_snapshot.h"

namespace client_proxy::fuzz {
namespace {

using namespace fleet;

constexpr std::uint64_t kFleet = 7;
constexpr std::size_t kMembers = 40, kMostAnswers = 24;
constexpr Time kStart = 10 * kSecond, kSteps = 50;

Fleet member() {
  Settings settings;
  settings.self = 9;
  settings.fleet = kFleet;
  std::vector<Listed> listed;
  for (std::size_t n = 0; n < kMembers; ++n) listed.push_back({static_cast<Number>(n), "", ""});
  return Fleet(settings, listed, incarnationAt(1'790'000'000'000, 5), 1);
}

std::string unreadable(const Out& out) {
  for (const Datagram& d : out.datagrams) {
    if (d.bytes.size() > kMostDatagram) return "a datagram of " + std::to_string(d.bytes.size()) + " bytes";
    if (decode(d.bytes, kFleet).fault != Fault::None) return "a datagram that nobody reads";
    if (d.to >= kMembers || d.to == 9) return "a datagram to nobody";
  }
  return {};
}

// It goes on, and what it says can be read.
std::string serves(Fleet& one) {
  for (Time at = kStart; at < kStart + kSteps * kSecond / 10; at += kSecond / 10) {
    Out out;
    one.onTime(at, out);
    if (const std::string broken = unreadable(out); !broken.empty()) return broken;
  }
  return {};
}

std::string taken(std::string_view bytes) {
  const Decoded d = decode(bytes, kFleet);
  Fleet one = member();
  Out out;
  one.start(kStart, out);
  out = {};
  one.receive(kStart + 1, d.message.header.from, bytes, out);
  if (d.fault != Fault::None && !(out.datagrams.empty() && out.changes.empty())) return "a fault is answered";
  if (out.datagrams.size() > kMostAnswers) return std::to_string(out.datagrams.size()) + " answers to one";
  if (const std::string broken = unreadable(out); !broken.empty()) return broken;
  if (one.roster().at(9).standing.state != State::Alive) return "a member believes itself dead";
  return serves(one);
}

}  // namespace

std::string brokenDatagram(std::string_view bytes) {
  if (const std::string broken = taken(bytes); !broken.empty()) return broken;
  if (bytes.size() < kHeader) return {};  // there is no place for a checksum
  const std::string right = sealed(std::string(bytes), kFleet);
  const Decoded d = decode(right, kFleet);
  if (d.fault == Fault::Checksum) return "a checksum set right is wrong";
  if (d.fault == Fault::None) {
    Writer writer(d.message.header, kFleet);
    for (const Item& item : d.message.items) {
      if (!writer.add(item)) return "what was read can't be written";
    }
    const Decoded again = decode(writer.finish(), kFleet);
    if (again.fault != Fault::None || again.message.items.size() != d.message.items.size())
      return "what was written is read otherwise";
  }
  return taken(right);
}

std::string brokenView(std::string_view bytes) {
  MembershipSnapshot view;
  try {
    view = fleet_transport::snapshotFromText(bytes);
  } catch (const std::runtime_error& e) {
    return *e.what() == '\0' ? "refused without words" : "";
  }
  const std::string text = fleet_transport::toText(view);
  if (fleet_transport::toText(fleet_transport::snapshotFromText(text)) != text)
    return "a view does not survive its own text";
  Fleet one = member();
  Out out;
  one.restore(view, kStart);
  one.start(kStart, out);
  if (one.roster().at(9).standing.state != State::Alive) return "a member believes itself dead";
  if (const std::string broken = unreadable(out); !broken.empty()) return broken;
  return serves(one);
}

}  // namespace client_proxy::fuzz
