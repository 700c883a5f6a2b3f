#include "cli/configuration_report.h"

#include <algorithm>
#include <utility>

#include "distribution/codec.h"

namespace client_proxy::configuration {
namespace {

using nlohmann::ordered_json;

std::string lineOf(const MemberProgress& member) {
  std::string line = "  member " + std::to_string(member.member) + ": " + nameOf(member.holding);
  if (member.holding == Holding::Refused) line += ": " + member.detail;
  if (member.holding == Holding::Behind || member.holding == Holding::NotHeard)
    line += ", last acknowledged version " + std::to_string(member.version);
  return line + "\n";
}

std::string linesOf(const distribution::Status& status) {
  std::string text = "replica " + std::to_string(status.replica);
  if (!status.region.empty()) text += " (" + status.region + ")";
  text += ": version " + std::to_string(status.version) + ", start " + std::to_string(status.start_count) +
          ", watched by " +
          std::to_string(std::count_if(status.members.begin(), status.members.end(),
                                       [](const auto& m) { return m.connected; })) +
          (status.quorum ? "" : ", hears no quorum") + "\n";
  for (const std::string& fault : status.faults) text += "  fault: " + fault + "\n";
  for (const distribution::PeerStatus& peer : status.peers) {
    if (!peer.reachable) text += "  can't reach replica " + std::to_string(peer.replica) + "\n";
  }
  return text;
}

}  // namespace

std::string nameOf(const Endpoint& replica) {
  return replica.address().to_string() + ":" + std::to_string(replica.port());
}

const char* nameOf(PublishResult result) {
  switch (result) {
    case PublishResult::Published:
      return "published";
    case PublishResult::Conflict:
      return "conflict";
    case PublishResult::Refused:
      return "refused";
    case PublishResult::Undecided:
      return "undecided";
  }
  return "";
}

std::string asText(const Progress& progress) {
  std::string text = "version " + std::to_string(progress.version) + ": held by " +
                     std::to_string(progress.count(Holding::Holds)) + " of " +
                     std::to_string(progress.members.size()) + "\n";
  for (const MemberProgress& member : progress.members) {
    if (member.holding != Holding::Holds) text += lineOf(member);
  }
  return text;
}

ordered_json asJson(const Progress& progress) {
  ordered_json members = ordered_json::array();
  for (const MemberProgress& member : progress.members) {
    ordered_json one = {
        {"member", member.member}, {"state", nameOf(member.holding)}, {"version", member.version}};
    if (!member.detail.empty()) one["detail"] = member.detail;
    members.push_back(std::move(one));
  }
  return {{"version", progress.version},
          {"held_by", progress.count(Holding::Holds)},
          {"expected", progress.members.size()},
          {"members", std::move(members)}};
}

std::string asText(const std::vector<ReplicaAnswer>& replicas) {
  std::string text;
  for (const ReplicaAnswer& replica : replicas)
    text += replica.status ? linesOf(*replica.status)
                           : "replica at " + nameOf(replica.address) + ": does not answer\n";
  return text;
}

ordered_json asJson(const std::vector<ReplicaAnswer>& replicas) {
  ordered_json all = ordered_json::array();
  for (const ReplicaAnswer& replica : replicas) {
    ordered_json one = {{"address", nameOf(replica.address)}, {"answers", replica.status.has_value()}};
    if (replica.status) one["status"] = ordered_json::parse(distribution::formatStatus(*replica.status));
    all.push_back(std::move(one));
  }
  return all;
}

}  // namespace client_proxy::configuration
