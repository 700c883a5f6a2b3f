// Counters of rejections by reason, request class and tenant. No I/O, no clock.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "admission/rejection_reason.h"

namespace client_proxy::admission {

// Classes and tenants are numbered from 0. An unknown one is counted under an additional last index, "other".
// Not thread-safe.
class RejectionCounters {
 public:
  RejectionCounters(std::size_t classes, std::size_t tenants)
      : classes_(classes + 1), tenants_(tenants + 1), counts_(kRejectionReasons * classes_ * tenants_) {}

  void note(RejectionReason reason, std::int32_t cls, std::int32_t tenant) {
    ++counts_[at(reason, indexOrLast(cls, classes_), indexOrLast(tenant, tenants_))];
    ++totals_[static_cast<std::size_t>(reason)];
  }
  // Extends the number of classes and tenants, never reduces it. Existing counts keep their class and tenant.
  void grow(std::size_t classes, std::size_t tenants) {
    RejectionCounters grown(std::max(classes, classes_ - 1), std::max(tenants, tenants_ - 1));
    const auto remap = [](std::size_t i, std::size_t before, std::size_t now) {
      return i + 1 == before ? now - 1 : i;
    };
    for (std::size_t reason = 0; reason < kRejectionReasons; ++reason) {
      for (std::size_t c = 0; c < classes_; ++c) {
        for (std::size_t t = 0; t < tenants_; ++t)
          grown.counts_[grown.at(static_cast<RejectionReason>(reason), remap(c, classes_, grown.classes_),
                                 remap(t, tenants_, grown.tenants_))] =
              counts_[at(static_cast<RejectionReason>(reason), c, t)];
      }
    }
    grown.totals_ = totals_;
    grown.reported_ = reported_;
    *this = std::move(grown);
  }
  std::uint64_t total(RejectionReason reason) const { return totals_[static_cast<std::size_t>(reason)]; }
  std::uint64_t count(RejectionReason reason, std::size_t cls, std::size_t tenant) const {
    return counts_[at(reason, cls, tenant)];
  }
  std::size_t classes() const { return classes_; }
  std::size_t tenants() const { return tenants_; }

  // The rejections since the last call by reason, such as "12 open_full, 3 too_late"; empty if there were
  // none. `also`: running totals that are kept elsewhere and reported together with these.
  std::string summarySinceLast(const std::array<std::uint64_t, kRejectionReasons>& also = {}) {
    std::string summary;
    for (std::size_t c = 1; c < kRejectionReasons; ++c) {
      const std::uint64_t now = totals_[c] + also[c];
      if (now == reported_[c]) continue;
      if (!summary.empty()) summary += ", ";
      summary +=
          std::to_string(now - reported_[c]) + ' ' + std::string(nameOf(static_cast<RejectionReason>(c)));
      reported_[c] = now;
    }
    return summary;
  }

 private:
  std::size_t at(RejectionReason reason, std::size_t cls, std::size_t tenant) const {
    return (static_cast<std::size_t>(reason) * classes_ + cls) * tenants_ + tenant;
  }

  std::size_t classes_, tenants_;
  std::vector<std::uint64_t> counts_;
  std::array<std::uint64_t, kRejectionReasons> totals_{}, reported_{};
};

}  // namespace client_proxy::admission
