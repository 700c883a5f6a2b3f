// What one member has promised, and what it may promise next. No I/O, no clock.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "leases/electorate.h"
#include "leases/wire.h"

namespace quinceline::leases {

class Voter {
 public:
  Voter(const Rules& rules, const Electorate& electorate, const std::vector<Service>& services)
      : rules_(rules), electorate_(electorate), services_(services) {}

  // What this process goes on with. It may have promised a moment before it ended, so it is bound by all of
  // it for a lease; and what it promises anew waits until it has heard what a majority knows: its memory may
  // be an older copy, another's, or gone.
  void start(Time now, const std::vector<Kept>& remembered);
  // A majority of the others has been heard. What this member remembers promising, and none of them has ever
  // heard of, was never granted to anybody: it is taken back. Which those are.
  std::vector<Kept> inform(Time now);
  bool mayPromise(Time now) const { return informed_at_.has_value() && now >= quarantined_until_; }

  // Somebody says that there is such a deed. True: it is higher than what was known.
  bool learn(ServiceId service, const Deed& deed);
  // What this member remembers promising nobody has ever heard of: it takes it back, but for the term.
  void disown(ServiceId service);
  // The hosts have seen this term.
  void raise(ServiceId service, Term term);
  // The highest of what was promised and heard of; term 0: nothing.
  Deed known(ServiceId service) const;
  // No claim may have a term below.
  Term nextTerm(ServiceId service) const;
  // Two deeds of the highest known term are there.
  bool disputed(ServiceId service) const;
  std::vector<Kept> allKnown() const;
  // Durable promises to a site that nothing newer is known of.
  std::vector<Kept> promisedTo(SiteId site) const;
  bool promised(ServiceId service, const Deed& deed) const;

  struct Answer {
    Entry entry;
    bool write = false;  // it has to be on disk before it is said
  };
  // Bound anew to a deed that was promised already.
  Answer renew(Time now, const Entry& asked, const Outlook& outlook);
  Answer claim(Time now, const Entry& asked, const Outlook& outlook);
  // `ok`: it is on disk now. Else it was not promised.
  void written(const Kept& kept, bool ok);

 private:
  struct Promise {
    Deed deed;
    bool durable = false;
    Time until = fleet::kLongAgo;  // bound
  };
  struct Heard {
    Deed deed;
    bool disputed = false;
    Term floor = 0;  // of the hosts
    Term best = 0;   // that others know of
  };
  const Service* serviceOf(ServiceId id) const;
  Answer no(Time now, const Entry& asked) const;
  bool grounded(Time now, const Entry& asked, const Outlook& outlook) const;

  const Rules& rules_;
  const Electorate& electorate_;
  const std::vector<Service>& services_;
  std::map<ServiceId, Promise> promises_;
  std::map<ServiceId, Heard> heard_;
  Time quarantined_until_ = 0;
  std::optional<Time> informed_at_;
};

}  // namespace quinceline::leases
