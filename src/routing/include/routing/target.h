// The path and the host of a request in one spelling, so that what is matched is what is sent on and no route
// is passed by writing the same thing in another way. No I/O.
#pragma once

#include <string>
#include <string_view>

namespace client_proxy::routing {

// A request's target in its one form, or what is wrong with it (to be answered 400).
struct Target {
  std::string path;        // begins with '/'
  std::string query;       // with its '?', as it came; empty: none
  std::string_view fault;  // empty: nothing
  bool ok() const { return fault.empty(); }
  std::string text() const { return path + query; }
};

// An origin-form target (RFC 9112, 3.2.1) as RFC 3986 normalises it, and stricter where hosts are known to
// read one spelling in several ways:
//
//     %41 %7E            are A and ~: escapes of unreserved characters are undone (6.2.2.2)
//     %c3                is %C3: others stay, in capitals (6.2.2.1)
//     /a/./b/../c        is /a/c (5.2.4); also where its dots were escaped; one '..' too many is refused
//     /a//b              is /a/b: an empty part means nothing to hosts that join paths
//     %2F %5C \          refused: a slash to some hosts and none to others
//     ; %3B              refused: some hosts cut a part off at it
//     %00, control, space, bytes above 0x7E, a '%' without two digits, '#', no '/' in front: refused
//
// A '/' at the end stays: /a and /a/ are two paths. The query is not looked at but for what no target may
// hold.
Target targetOf(std::string_view text);

// The name in a Host header or an authority, without port (RFC 3986, 3.2.2), in small letters, without the
// dot at the end; empty: there is none or it is malformed. An IPv6 address keeps its brackets.
std::string hostOf(std::string_view authority);

}  // namespace client_proxy::routing
