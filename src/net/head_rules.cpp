#include "net/head_rules.h"

namespace client_proxy {

using load_balancer::Idempotency;

std::string_view pathOf(std::string_view target) { return target.substr(0, target.find_first_of("?#")); }

std::string_view firstPart(std::string_view path) {
  if (path.empty() || path.front() != '/') return {};
  path.remove_prefix(1);
  return path.substr(0, path.find('/'));
}

std::optional<HeadFault> faultOf(const RequestHead& head, Idempotency idempotency) {
  if (head.method != (idempotency == Idempotency::Idempotent ? "GET" : "POST"))
    return HeadFault{405, idempotency == Idempotency::Idempotent ? "a safe class is asked by GET"
                                                                 : "only safe classes are not asked by POST"};
  if (!head.has_host && !head.old_version) return HeadFault{400, "Host is missing"};  // RFC 9112, 3.2
  if (head.correlation.empty()) return HeadFault{400, "X-Correlation-Id is missing"};
  if (head.ambiguous) return HeadFault{400, "a header is there twice that may be there once"};
  if (head.has_body && head.method == "GET") return HeadFault{400, "a GET has a body"};
  // A repeat of a keyed request is harmless by its key only.
  if (idempotency == Idempotency::IdempotentWithKey && !head.keyed)
    return HeadFault{400, "a keyed class needs an Idempotency-Key"};
  if (!head.has_time_left) return std::nullopt;
  const std::optional<Time> left = parseSeconds(head.time_left);
  if (!left) return HeadFault{400, "X-Time-Left is not a number of seconds"};
  if (*left <= 0) return HeadFault{504, "X-Time-Left is over"};
  return std::nullopt;
}

}  // namespace client_proxy
