// One member's part in who owns what: messages and the time in; messages, what must be on disk first, and
// lines for staff out. No I/O, no clock. docs/design-ownership.md says why it is so.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "leases/findings.h"
#include "leases/keeper.h"
#include "leases/permits.h"
#include "leases/voter.h"
#include "random/random.h"

namespace quinceline::leases {

struct Parcel {
  Number to = 0;
  std::string bytes;
};

struct Out {
  std::vector<Parcel> parcels;
  std::vector<Kept> writes;        // each to be answered by Member::written()
  std::vector<std::string> lines;  // for staff
  bool renounce = false;           // this memory is another's too: a new one is to be begun
};

class Member {
 public:
  // `self` is among `listed`. `seed`: for the times between tries.
  Member(const Rules& rules, std::vector<Service> services, std::vector<Listed> listed, Number self,
         std::uint64_t seed);

  // `installation`: whose memory this is; 0: there is none, and nothing is remembered.
  void start(Time now, const std::vector<Kept>& remembered, std::uint32_t installation);
  void look(Time now, Outlook outlook) { outlook_ = std::move(outlook), looked_ = now; }
  void receive(Time now, Number from, std::string_view parcel, Out& out);
  // Wanted at due().
  void onTime(Time now, Out& out);
  Time due() const { return due_; }
  void written(Time now, const Kept& kept, bool ok, Out& out);
  // A host has turned a request away: it has seen this term.
  void onHostTerm(Time now, ServiceId service, Term term, Out& out);
  // An operator gives a service to a site, whoever holds it. What it overrides, or why it can't be.
  std::string decree(Time now, ServiceId service, SiteId site, Out& out);

  Permit permit(ServiceId service, Time now) const;
  // A majority has been heard, and what was promised before is over.
  bool heard(Time now) const { return voter_.mayPromise(now); }
  std::size_t heardOf() const { return informed_.count() + uninformed_.count(); }

  const std::vector<Service>& services() const { return services_; }
  const Electorate& electorate() const { return electorate_; }
  const Outlook& outlook() const { return outlook_; }
  Deed known(ServiceId service) const { return voter_.known(service); }
  bool disputed(ServiceId service) const { return voter_.disputed(service); }
  const Holding* holding(ServiceId service) const { return keeper_.holding(service); }
  const Findings& findings() const { return findings_; }
  bool keeps() const;  // it speaks for its site

 private:
  Message message(Kind kind, std::uint32_t round) const;
  void send(Number to, const Message& m, Out& out) const;
  void sendAll(const Message& m, Out& out) const;
  void forOthers(const std::function<void(Number)>& what) const;

  void hello(Time now, Out& out);
  void inform(Time now, Out& out);
  void renew(Time now, Out& out);
  void claims(Time now, Out& out);
  void ask(Time now, Out& out);
  void publish();
  std::optional<Ground> groundFor(Time now, const Service& service);
  void claim(Time now, ServiceId service, const Deed& deed, Out& out);
  void promise(Time now, Number to, std::uint32_t round, const Voter::Answer& answer, Message& vow, Out& out);

  void onHello(Number from, const Message& m, Out& out);
  void onKnown(Time now, Number from, const Message& m, Out& out);
  void onRenew(Time now, Number from, const Message& m, Out& out);
  void onClaim(Time now, Number from, const Message& m, Out& out);
  void onVow(Time now, Number from, const Message& m, Out& out);
  void onAsk(Time now, Number from, const Message& m, Out& out);
  void onTold(Time now, const Message& m, Out& out);
  void learn(Time now, ServiceId service, const Deed& deed, Out& out);
  void judgeClaim(Time now, Number from, const Entry& e, std::uint32_t file, Out& out);
  void find(Time now, const Finding& finding, Out& out);
  void watchMemory(Time now, Number from, std::uint32_t installation, Out& out);
  std::string named(ServiceId service) const;

  const Rules rules_;
  const std::vector<Service> services_;
  const Electorate electorate_;
  const Number self_;
  const SiteId site_;
  weldflow::Random random_;
  Voter voter_;
  Keeper keeper_;
  Permits permits_;
  Findings findings_;
  Outlook outlook_;
  Time looked_ = fleet::kLongAgo;
  std::uint32_t installation_ = 0;
  bool remembers_ = false;  // something from before this process

  // Who has told all that it knows, since the start.
  std::uint32_t hello_ = 0;
  std::map<Number, std::set<ServiceId>> heard_;
  Votes informed_, uninformed_;
  bool anything_ = false;  // any of them knows of any deed

  std::map<Number, std::uint32_t> installations_;
  std::map<SiteId, Time> gone_since_;
  std::map<ServiceId, Time> claimed_at_;
  struct Waiting {  // a vow that waits for the disk
    Kept kept;
    Number to;
    std::uint32_t round;
    Entry entry;
  };
  std::vector<Waiting> waiting_;
  struct Decreed {  // told again until its site's keeper has it
    ServiceId service;
    Deed deed;
    Time until;
  };
  std::vector<Decreed> decreed_;
  std::map<ServiceId, Term> disputes_told_;
  std::set<ServiceId> missed_;  // by some member, in the last round
  Time hello_at_ = 0, renew_at_ = 0, claim_at_ = 0, ask_at_ = 0, due_ = fleet::kNever;
};

}  // namespace quinceline::leases
