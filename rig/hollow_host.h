// Many hollow members on one event loop, told what to do line by line.
//
// Commands, each answered by one JSON object on a line:
//
//     start [NUMBER ...]   starts these members, or all of the process; those that run are passed over
//     crash NUMBER ...     as after SIGKILL
//     leave NUMBER ...     tells the others first
//     views [NUMBER ...]   {"views": [{"live", "hash", "members"}]}: equal views counted together
//     traffic              {"members": [{"number", "at_s", "datagrams_in", ..., "worst_out", "worst_in"}]}
//     reset                forgets the worst seconds so far
//     clients              {"members": [{"number", "leases": {...}, "discovery": {...}}]}
//     quit
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/local/stream_protocol.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/streambuf.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "hollow_member.h"

namespace client_proxy::rig {

// The members file: what is common to all, and the members that a process holds.
struct HollowFile {
  HollowPlan plan;
  std::vector<FleetSettings> members;
};
// Throws std::runtime_error that names what is wrong.
HollowFile parseHollowFile(const std::string& text);

class HollowHost {
 public:
  // `commands`: a connected stream socket; its end ends run().
  HollowHost(HollowFile file, int commands);
  ~HollowHost();

  void run();
  nlohmann::ordered_json carryOut(const std::string& command);

 private:
  struct Slot {
    const FleetSettings settings;
    std::unique_ptr<HollowMember> member;                 // null: it does not run
    fleet_transport::MembershipService::Traffic earlier;  // of the members under this number that ended
    fleet_transport::MembershipService::Traffic second;   // when the current second began
    std::uint64_t worst_out = 0, worst_in = 0;            // bytes in one second
  };
  using Numbers = std::vector<std::uint16_t>;

  void readCommand();
  void sampleSeconds();
  void start(const Numbers& numbers);
  void end(const Numbers& numbers, bool crash);
  nlohmann::ordered_json views(const Numbers& numbers) const;
  nlohmann::ordered_json traffic() const;
  nlohmann::ordered_json clients() const;
  static fleet_transport::MembershipService::Traffic trafficOf(const Slot& slot);
  Slot& slotOf(std::uint16_t number);

  const HollowFile file_;
  boost::asio::io_context io_;
  const Clock clock_;
  boost::asio::local::stream_protocol::socket commands_;
  boost::asio::streambuf line_;
  boost::asio::steady_timer second_;
  std::map<std::uint16_t, Slot> slots_;
  std::vector<std::unique_ptr<HollowMember>> ended_;  // destroyed when no handler is ready
  bool quit_ = false;
};

}  // namespace client_proxy::rig
