// Claims, storage and hosts that contradict what this member knows.
#include <algorithm>

#include "leases/member.h"

namespace client_proxy::leases {

// Two members with one installation's storage would both vote by promises that were made once. The lower
// number keeps it.
void Member::checkInstallation(Time now, Number from, std::uint32_t installation, Output& out) {
  if (installation == 0) return;
  installations_[from] = installation;
  const auto report_copy = [&](Number one, Number other) {
    report(now,
           {.kind = ConflictKind::CopiedStorage,
            .claimant = std::max(one, other),
            .other = std::min(one, other)},
           out);
  };
  for (const auto& [other, held] : installations_) {
    if (other != from && held == installation) report_copy(from, other);
  }
  if (installation != installation_) return;
  report_copy(from, self_);
  if (self_ < from) return;
  out.discard_storage = true;
  out.log_lines.push_back("storage copied member=" + std::to_string(from) + ": the copy here is discarded");
  start(now, {}, 0);
}

// A claim that this member has refused: if it contradicts what is known, it is reported.
void Member::checkClaim(Time now, Number from, const Entry& entry, std::uint32_t config_hash, Output& out) {
  if (!voter_.mayPromise(now)) return;  // this member's own storage may be the wrong one
  const Grant held = voter_.known(entry.service);
  Conflict conflict{.service = entry.service, .claimant = from, .claim = entry.grant, .against = held};
  if (held.term > entry.grant.term) {
    conflict.kind = entry.yes ? ConflictKind::Stale : ConflictKind::ExpiredLease;
  } else if (held.term == entry.grant.term && held.site != entry.grant.site) {
    const bool overrides =
        entry.grant.reason == ClaimReason::Override && held.reason == ClaimReason::Override;
    if (!overrides) return;
    conflict.kind = ConflictKind::ConflictingOverrides;
  } else if (entry.grant.reason == ClaimReason::Home && config_hash != settings_.config_hash) {
    conflict.kind = ConflictKind::ConfigMismatch;
  } else {
    return;
  }
  report(now, conflict, out);
}

void Member::report(Time now, const Conflict& conflict, Output& out) {
  if (!conflicts_.note(now, conflict)) return;
  std::string line = "lease conflict kind=" + std::string(nameOf(conflict.kind));
  if (conflict.service != 0) line += " service=" + nameOfService(conflict.service);
  line += " claimant=" + std::to_string(conflict.claimant);
  if (conflict.claim.term != 0)
    line += " claimed: " + describe(conflict.claim) + " known: " + describe(conflict.against);
  out.log_lines.push_back(std::move(line));
}

void Member::onHostTerm(Time now, ServiceId service, Term term, Output& out) {
  const Grant held = voter_.known(service);
  if (term <= held.term) return;
  voter_.raiseTermFloor(service, term);
  invalidate(service);
  report(now,
         {.kind = ConflictKind::HostsSawNewerTerm,
          .service = service,
          .claimant = self_,
          .claim = held,
          .against = {term, kNoSite, ClaimReason::Reclaim}},
         out);
}

}  // namespace client_proxy::leases
