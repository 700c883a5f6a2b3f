// What a call on the console means: its path and method in, the call or what is wrong with it out. No I/O, no
// clock.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace client_proxy::console {

enum class Call : std::uint8_t {
  None,         // see Read::status
  Healthcheck,  // GET /healthcheck
  Stats,        // GET /stats
  Maint,        // POST /hosts/ID/maint
  Ready,        // POST /hosts/ID/ready
  Fail,         // POST /healthcheck/fail
  Ok,           // POST /healthcheck/ok
  Rehearse,     // POST /rehearsal
  Give,         // POST /deeds/SERVICE/give/ZONE
  Page,  // any other path: perhaps a page that an operator file has switched on; status 405: not by GET
};

struct Read {
  Call call = Call::None;
  int status = 404;  // of a None: 404 no such path, 405 it is there for another method, 400 unreadable
  std::string_view allow{};       // of a 405: the method that it takes
  std::string host{};             // of Maint and Ready: the id, percent-decoded (RFC 3986, 2.1); never empty
  std::string service{}, zone{};  // of Give: the same
  std::string_view page{};        // of a Page: its path
};

// `method` and `target` as in the request line, which must outlive what is returned. A query is ignored.
Read readCall(std::string_view method, std::string_view target);

}  // namespace client_proxy::console
