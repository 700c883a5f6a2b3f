// Why a client got nothing, or lost its connection: the closed list of causes that admission gives. Each has
// one name, which the log, the operators' page and docs/admission.md use.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace client_proxy::admission {

using Time = std::int64_t;  // microseconds, as in load_balancer/balancer.h

// Classes and tenants go by index. One that is not known (-1, or beyond the last) is the last of `count`.
constexpr std::size_t indexOrLast(std::int32_t index, std::size_t count) {
  const auto i = static_cast<std::size_t>(index);
  return index < 0 || i >= count ? count - 1 : i;
}

enum class RejectionReason : std::uint8_t {
  None,  // let in, or kept
  // A connection was closed.
  FirstByteTimeout,  // it never said anything within its time
  SilentEvicted,     // it had said nothing yet, and room was needed
  IdleTimeout,       // no request for the time that one is kept
  IdleEvicted,       // it rested, and room was needed
  UnusedEvicted,     // it rested after its only request where connections are not used again, and room was
                     // needed
  NotReused,         // closed with its answer: clients do not use kept connections again
  PeerQuota,         // its address held more than its share, and room was needed
  RequestTimeout,    // a request did not come whole in time
  ResponseWriteTimeout,  // the client did not take its answer in time
  ResponseTruncated,     // its host broke a long answer off
  LingerTimeout,         // the client did not end its sending in time
  Shutdown,              // the proxy stops
  HandedOver,            // the process that takes this one's place has it now
  // A request was refused before it was sent anywhere.
  ConnectionLimit,      // it came on a connection beyond the bound
  ConcurrencyLimit,     // the bound on open requests, and no place to wait
  MemoryLimit,          // the bound on the bytes of requests, and no place to wait
  ClassLimit,           // its class is at its own bound or share
  TenantLimit,          // its tenant is at its own bound or share
  DeadlineUnreachable,  // it would wait for a place until it can't be answered in time
  EvictedFromQueue,     // it waited, and gave its place to a class or tenant that has fewer waiting
  RetryBudget,          // a client's marked retry beyond the budget for retries
  BodyMemory,           // no memory for its body in time
  NoLease,              // one site alone may run it, and which is not proven just now (docs/ownership.md)
  StagedRestart,        // the proxy comes back from a power cut, and may not serve it yet (docs/recovery.md)
};
constexpr std::size_t kRejectionReasons = static_cast<std::size_t>(RejectionReason::StagedRestart) + 1;

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
