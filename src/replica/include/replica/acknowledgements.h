// The configuration version each proxy has reported as in force, kept in memory. Does no I/O and reads no
// clock.
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

  /// Keeps the acknowledgement with the highest sequence number per member; an older one only updates the
  /// time of last contact. A new member is ignored if there are kMaxMembers already.
  void record(Time now, const distribution::Acknowledgement& acknowledgement);
  void connected(Time now, MemberId member);
  void disconnected(Time now, MemberId member);
  /// Members that are connected or had contact within kRetention, in ascending order.
  std::vector<distribution::MemberStatus> status(Time now);

  static constexpr std::size_t kMaxMembers = 10'000;
  static constexpr std::chrono::hours kRetention{1};

 private:
  struct Entry {
    distribution::Acknowledgement newest;
    Time last_contact{};
    int connections = 0;
  };
  Entry* findOrCreateEntry(Time now, MemberId member);
  void removeExpired(Time now);

  std::map<MemberId, Entry> members_;
};

}  // namespace client_proxy::replica
