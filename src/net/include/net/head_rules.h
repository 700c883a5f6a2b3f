// What a request must bring by its head, whatever it is let in by: the protocol's rules, without I/O.
#pragma once

#include <optional>
#include <string_view>

#include "load_balancer/balancer.h"
#include "net/http.h"

namespace client_proxy {

std::string_view pathOf(std::string_view target);   // without query and fragment
std::string_view firstPart(std::string_view path);  // "swap-charge" of "/swap-charge/7": the class's name

struct HeadFault {
  int status = 400;
  std::string_view why;
};

// What is wrong with a request of a class that has this effect; nothing: it may go on.
std::optional<HeadFault> faultOf(const RequestHead& head, load_balancer::Idempotency idempotency);

}  // namespace client_proxy
