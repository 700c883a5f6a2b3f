#include "cli/configuration_progress.h"

#include <algorithm>
#include <map>
#include <utility>

namespace client_proxy::configuration {
namespace {

using distribution::MemberId;
using distribution::MemberStatus;
using distribution::Status;
using distribution::Version;

Holding holdingOf(Version version, const std::string& digest, const MemberStatus& member) {
  if (member.version == version && member.digest != digest) return Holding::OtherText;
  if (member.version >= version) return member.restart_needed ? Holding::RestartNeeded : Holding::Holds;
  if (member.refused && member.refused->version >= version) return Holding::Refused;
  return member.connected ? Holding::Behind : Holding::NotHeard;
}

MemberProgress progressOfOne(Version version, const std::string& digest, const MemberStatus& member) {
  MemberProgress progress;
  progress.member = member.member;
  progress.holding = holdingOf(version, digest, member);
  progress.version = member.version;
  if (progress.holding == Holding::Refused) progress.detail = member.refused->error;
  return progress;
}

}  // namespace

const char* nameOf(Holding holding) {
  switch (holding) {
    case Holding::Holds:
      return "holds it";
    case Holding::RestartNeeded:
      return "restart needed";
    case Holding::Refused:
      return "refused";
    case Holding::Behind:
      return "connected but behind";
    case Holding::OtherText:
      return "another text under this number";
    case Holding::NotHeard:
      return "not heard";
  }
  return "";
}

std::size_t Progress::count(Holding holding) const {
  return static_cast<std::size_t>(std::count_if(
      members.begin(), members.end(), [&](const MemberProgress& m) { return m.holding == holding; }));
}

std::vector<MemberStatus> mergeMembers(const std::vector<Status>& replicas) {
  std::map<MemberId, MemberStatus> merged;
  for (const Status& replica : replicas) {
    for (const MemberStatus& member : replica.members) {
      const auto [known, first] = merged.try_emplace(member.member, member);
      if (first) continue;
      const bool connected = known->second.connected || member.connected;
      if (member.heard_ms_ago < known->second.heard_ms_ago) known->second = member;
      known->second.connected = connected;
    }
  }
  std::vector<MemberStatus> members;
  for (auto& [number, member] : merged) members.push_back(std::move(member));
  return members;
}

Progress progressOf(Version version, const std::string& digest, const std::vector<MemberStatus>& members,
                    const std::set<MemberId>& expected) {
  std::map<MemberId, MemberProgress> all;
  for (const MemberId number : expected) all[number].member = number;
  for (const MemberStatus& member : members) {
    if (expected.empty() || expected.count(member.member) > 0)
      all[member.member] = progressOfOne(version, digest, member);
  }
  Progress progress;
  progress.version = version;
  for (auto& [number, member] : all) progress.members.push_back(std::move(member));
  return progress;
}

}  // namespace client_proxy::configuration
