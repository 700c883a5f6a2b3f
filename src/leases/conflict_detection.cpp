// Detection of conflicts: claims, copied storage and terms seen by hosts that contradict the grants known
// here.
#include <algorithm>

#include "leases/member.h"

namespace client_proxy::leases {

// Two members with copies of one storage would both vote on the strength of promises that only one of them
// has made. The member with the lower number keeps its copy.
void Member::checkInstallation(Time now, Number from, std::uint32_t installation, Output& out) {
  if (installation == 0) return;
  installations_[from] = installation;
  const auto report_copy = [&](Number first, Number second) {
    report(now,
           {.kind = ConflictKind::CopiedStorage,
            .claimant = std::max(first, second),
            .other = std::min(first, second)},
           out);
  };
  for (const auto& [other, theirs] : installations_) {
    if (other != from && theirs == installation) report_copy(from, other);
  }
  if (installation != installation_) return;
  report_copy(from, self_);
  if (self_ < from) return;
  out.discard_storage = true;
  out.log_lines.push_back("storage copied member=" + std::to_string(from) +
                          ": this member discards its copy");
  start(now, {}, 0);
}

// Reports a claim or renewal that this member has refused, if it contradicts the known grant.
void Member::checkClaim(Time now, Number from, const Entry& entry, std::uint32_t config_hash, Output& out) {
  if (!voter_.mayPromise(now)) return;  // this member's own storage may be the outdated one
  const Grant current = voter_.known(entry.service);
  Conflict conflict{.service = entry.service, .claimant = from, .claim = entry.grant, .known = current};
  if (current.term > entry.grant.term) {
    // Entry::granted of a Renew marks grants that the claimant has from its storage only.
    conflict.kind = entry.granted ? ConflictKind::Stale : ConflictKind::ExpiredLease;
  } else if (current.term == entry.grant.term && current.site != entry.grant.site) {
    const bool overrides =
        entry.grant.reason == ClaimReason::Override && current.reason == ClaimReason::Override;
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
  if (!conflicts_.record(now, conflict)) return;
  std::string line = "lease conflict kind=" + std::string(nameOf(conflict.kind));
  if (conflict.service != 0) line += " service=" + nameOfService(conflict.service);
  line += " claimant=" + std::to_string(conflict.claimant);
  if (conflict.claim.term != 0)
    line += " claimed: " + describe(conflict.claim) + " known: " + describe(conflict.known);
  out.log_lines.push_back(std::move(line));
}

void Member::onHostTerm(Time now, ServiceId service, Term term, Output& out) {
  const Grant current = voter_.known(service);
  if (term <= current.term) return;
  voter_.raiseTermFloor(service, term);
  invalidate(service);
  report(now,
         {.kind = ConflictKind::HostsSawNewerTerm,
          .service = service,
          .claimant = self_,
          .claim = current,
          .known = {term, kNoSite, ClaimReason::Reclaim}},
         out);
}

}  // namespace client_proxy::leases
