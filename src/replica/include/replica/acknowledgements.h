// What proxies have said is in force with them, in memory. Pure.
#pragma once

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "distribution/types.h"

namespace client_proxy::replica {

class Acknowledgements {
 public:
  using Time = std::chrono::milliseconds;
  using MemberId = distribution::MemberId;

  /// The newest by sequence is kept; one that is overtaken only counts as heard.
  void take(Time now, const distribution::Acknowledgement& acknowledgement);
  void connected(Time now, MemberId member);
  void disconnected(Time now, MemberId member);
  /// Those connected and those heard within kForgetAfter, ascending.
  std::vector<distribution::MemberStatus> status(Time now);

  static constexpr std::size_t kMaxMembers = 10'000;
  static constexpr std::chrono::hours kForgetAfter{1};

 private:
  struct Entry {
    distribution::Acknowledgement newest;
    Time heard{};
    int connections = 0;
  };
  Entry* entryOf(Time now, MemberId member);
  void forget(Time now);

  std::map<MemberId, Entry> members_;
};

}  // namespace client_proxy::replica
