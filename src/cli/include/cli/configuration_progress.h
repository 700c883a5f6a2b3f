// How far a published configuration has come: which proxies hold it, and why the others do not. No I/O, no
// clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "distribution/types.h"

namespace client_proxy::configuration {

// Why a proxy holds a version, or does not.
enum class Holding : std::uint8_t {
  Holds,          // in force there, this version or a later one
  RestartNeeded,  // taken, but part of it takes effect only when the proxy restarts
  Refused,        // its own check found an error in it
  Behind,         // connected to a replica, has not acknowledged the version yet
  OtherText,      // it has another text under this number: the replicas have lost their history
  NotHeard,       // connected to no replica that answered, or never heard of
};

// The word for it in text and JSON.
const char* nameOf(Holding holding);

struct MemberProgress {
  distribution::MemberId member = 0;
  Holding holding = Holding::NotHeard;
  distribution::Version version = 0;  // in force there, as last acknowledged
  std::string detail;                 // of a refusal: file:line:column and what is wrong
};

struct Progress {
  distribution::Version version = 0;
  std::vector<MemberProgress> members;  // by number

  std::size_t count(Holding holding) const;
  bool heldByAll() const { return count(Holding::Holds) == members.size(); }
  // Some may hold it yet without anybody's help.
  bool mayRise() const { return count(Holding::Behind) + count(Holding::NotHeard) > 0; }
};

// One table out of those of all replicas: for each member the newest acknowledgement; it
// counts as connected if any replica says so.
std::vector<distribution::MemberStatus> mergeMembers(const std::vector<distribution::Status>& replicas);

// `digest`: of the version's text. `expected`: the members of the fleet's list; empty: all that a replica has
// ever heard.
Progress progressOf(distribution::Version version, const std::string& digest,
                    const std::vector<distribution::MemberStatus>& members,
                    const std::set<distribution::MemberId>& expected);

}  // namespace client_proxy::configuration
