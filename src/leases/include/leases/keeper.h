// A site's deeds in the hands of the member that speaks for it: which are confirmed, and until when. No I/O,
// no clock.
#pragma once

#include <deque>
#include <map>
#include <vector>

#include "leases/electorate.h"
#include "leases/wire.h"

namespace quinceline::leases {

struct Holding {
  Deed deed;
  Time until = fleet::kLongAgo;  // by the promises of a majority
  Time ready_at = fleet::kNever;
  bool confirmed = false;  // in this process's life
  bool ready = false;      // what was owed is over, and that is on disk
};

class Keeper {
 public:
  Keeper(const Rules& rules, const Electorate& electorate, Number self)
      : rules_(rules), electorate_(electorate), self_(self) {}

  // As it was on disk: what was owed then is not owed again.
  void recall(ServiceId service, const Deed& deed, bool ready);
  // As the member that spoke for the site before told it.
  void takeOver(ServiceId service, const Deed& deed, Time ready_at);

  // A new round of promises, for these.
  std::uint32_t begin(Time now, const std::vector<Kept>& deeds);
  const std::vector<Kept>* deedsOf(std::uint32_t round) const;

  // What a member has said. Changed holdings are told to `Member` by holdings().
  void vowedWhole(Time now, std::uint32_t round, Number from, std::size_t live);
  void vowed(Time now, std::uint32_t round, Number from, const Entry& entry, std::size_t live);
  // A majority of the others knows nothing of it, and none of them anything else.
  bool unwitnessed(std::uint32_t round, ServiceId service) const;

  // Something newer is known.
  void drop(ServiceId service) { holdings_.erase(service); }
  void clear() { holdings_.clear(); }
  const Holding* holding(ServiceId service) const;
  const std::map<ServiceId, Holding>& holdings() const { return holdings_; }
  // Those for which what was owed is over since the last call.
  std::vector<Kept> becomeReady(Time now);

 private:
  struct Round {
    std::uint32_t number = 0;
    Time sent = 0;
    std::vector<Kept> deeds;
    Votes whole;
    std::map<ServiceId, Votes> some, none;
  };
  const Round* roundOf(std::uint32_t round) const;
  Round* roundOf(std::uint32_t round);
  void count(Time now, const Round& round, const Kept& kept, std::size_t live);

  static constexpr std::size_t kRounds = 6;  // that are still counted
  const Rules& rules_;
  const Electorate& electorate_;
  const Number self_;
  std::map<ServiceId, Holding> holdings_;
  std::deque<Round> rounds_;
  std::uint32_t last_ = 0;
};

}  // namespace quinceline::leases
