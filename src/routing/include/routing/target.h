// Normalizes the path and the host name of a request. Routes are matched against the normalized form, and the
// same form is forwarded, so that a route can't be bypassed by an equivalent spelling. No I/O.
#pragma once

#include <string>
#include <string_view>

namespace client_proxy::routing {

// A normalized request target, or the reason why it is rejected (with status 400).
struct Target {
  std::string path;        // begins with '/'
  std::string query;       // with its '?', as received; empty: none
  std::string_view fault;  // why the target is rejected; empty: it is valid
  bool ok() const { return fault.empty(); }
  std::string text() const { return path + query; }
};

// Normalizes an origin-form target (RFC 9112, 3.2.1) by RFC 3986, and rejects what different hosts are known
// to interpret differently:
//
//     %41 %7E            become A and ~: unreserved characters are unescaped (6.2.2.2)
//     %c3                becomes %C3: other escapes stay, in upper case (6.2.2.1)
//     /a/./b/../c        becomes /a/c (5.2.4), also if the dots are escaped; '..' above the root is rejected
//     /a//b              becomes /a/b: hosts that join paths ignore empty segments
//     %2F %5C \          rejected: only some hosts treat them as a slash
//     ; %3B              rejected: some hosts cut the segment off there
//     %00, control, space, bytes above 0x7E, a '%' without two digits, '#', no leading '/': rejected
//
// A trailing '/' stays: /a and /a/ are different paths. The query is only checked for characters that no
// target may contain.
Target targetOf(std::string_view text);

// The host name of a Host header or an authority (RFC 3986, 3.2.2) in lower case, without the port and
// without a trailing dot. Empty if there is none or it is malformed. An IPv6 address keeps its brackets.
std::string hostOf(std::string_view authority);

}  // namespace client_proxy::routing
