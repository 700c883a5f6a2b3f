// Which requests one site alone may run, and whether one may be sent there just now. Who knows is asked; the
// network code decides nothing of it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "load_balancer/balancer.h"
#include "net/clock.h"
#include "net/http.h"

namespace client_proxy {

class ServiceGate {
 public:
  using Service = std::uint32_t;
  struct Permission {
    bool allowed = false;
    std::string zone;        // where, if it may
    std::uint32_t term = 0;  // by which; told to the host
    Time retry_after = 0;    // if not; 0: not known
  };
  virtual ~ServiceGate() = default;
  struct Match {
    std::optional<Service> service;  // nothing: none, or it may run anywhere
    bool malformed = false;          // its target can be read in more ways than one: it is no request
  };
  virtual Match serviceOf(const RequestHead& head, std::string_view request_class,
                          load_balancer::Idempotency idempotency) const = 0;
  // To be asked when a request comes, and again at the moment of each sending.
  virtual Permission permission(Service service) const = 0;
  // While the proxy comes back from a power cut: how long a request of this class has to stay away yet, since
  // it may be one that ran before. Nothing: it may be served. `served`: by a service's one site.
  virtual std::optional<Time> delayAfterRestart(const load_balancer::RequestClass& of, bool served) const = 0;
  // A request that was let in has its answer.
  struct CompletedRequest {
    const RequestHead& head;
    std::string_view request_class;
    load_balancer::Idempotency idempotency = load_balancer::Idempotency::Idempotent;
    double priority_weight = 0;
    std::string_view zone;  // where it ran last; empty: nowhere
    Time took = 0;          // there
    int status = 0;
  };
  virtual void onCompleted(const CompletedRequest& request) = 0;
  // A host has turned a request away, unprocessed, since it knows a newer term.
  virtual void onRejectedByHost(Service service, std::uint32_t term) = 0;
};

}  // namespace client_proxy
