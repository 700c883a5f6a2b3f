// The reasons for which admission refuses a request or closes a connection. Each has one name, which is used
// by the log, the operators' page and docs/admission.md.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace client_proxy::admission {

using Time = std::int64_t;  // microseconds, as in load_balancer/balancer.h

// Maps the index of a class or tenant into a table of `count` entries, of which the last is for unknown ones:
// -1 or beyond the table.
constexpr std::size_t indexOrLast(std::int32_t index, std::size_t count) {
  const auto i = static_cast<std::size_t>(index);
  return index < 0 || i >= count ? count - 1 : i;
}

enum class RejectionReason : std::uint8_t {
  None,  // the request is admitted, or the connection is kept
  // Reasons for closing a connection.
  FirstByteTimeout,  // no first byte within its time limit
  SilentEvicted,     // no first byte yet, and room was needed
  IdleTimeout,       // no further request within the idle time limit
  IdleEvicted,       // idle, and room was needed
  UnusedEvicted,   // idle after its only request while clients do not reuse connections, and room was needed
  NotReused,       // closed with its response because clients do not reuse idle connections
  PeerQuota,       // its address held more than its share, and room was needed
  RequestTimeout,  // a request was not received completely in time
  ResponseWriteTimeout,  // the client did not read its response in time
  ResponseTruncated,     // the host aborted a long response
  LingerTimeout,         // the client did not stop sending in time after a closing response
  Shutdown,              // the proxy is stopping
  HandedOver,            // transferred to the process that replaces this one
  // Reasons for refusing a request that has not been sent to any host.
  ConnectionLimit,      // it came on a connection beyond the connection limit
  ConcurrencyLimit,     // the limit on open requests is reached and the queue is full
  MemoryLimit,          // the limit on the bytes of open requests is reached and the queue is full
  ClassLimit,           // its class is at its own limit or share
  TenantLimit,          // its tenant is at its own limit or share
  DeadlineUnreachable,  // it would wait for a place until it can no longer be answered in time
  EvictedFromQueue,     // it was queued and lost its place to a class or tenant with fewer queued requests
  RetryBudget,          // marked by the client as a retry, and beyond the budget for retries
  BodyMemory,           // no memory for its body became available in time
  NoLease,        // only one site may run it, and which one is not proven at present (docs/ownership.md)
  StagedRestart,  // the proxy is recovering from a power loss and may not serve it yet (docs/recovery.md)
};
constexpr std::size_t kRejectionReasons = static_cast<std::size_t>(RejectionReason::StagedRestart) + 1;

// The name that operators see in the log and on the operators' page.
constexpr std::string_view nameOf(RejectionReason reason) {
  constexpr std::array<std::string_view, kRejectionReasons> kNames = {"none",
                                                                      "silent_overdue",
                                                                      "silent_gave_way",
                                                                      "idle_overdue",
                                                                      "idle_gave_way",
                                                                      "unused_gave_way",
                                                                      "not_reused",
                                                                      "peer_share",
                                                                      "request_overdue",
                                                                      "answer_not_taken",
                                                                      "answer_cut",
                                                                      "linger_over",
                                                                      "shutdown",
                                                                      "handed_on",
                                                                      "connections_full",
                                                                      "open_full",
                                                                      "bytes_full",
                                                                      "class_full",
                                                                      "tenant_full",
                                                                      "too_late",
                                                                      "displaced",
                                                                      "retry_budget",
                                                                      "body_memory",
                                                                      "no_deed",
                                                                      "coming_back"};
  return kNames[static_cast<std::size_t>(reason)];
}

}  // namespace client_proxy::admission
