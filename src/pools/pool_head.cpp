// Builds the HTTP request head that an attempt sends to a host.
#include <algorithm>
#include <cctype>
#include <string>
#include <string_view>

#include "net/head_rules.h"
#include "pools/pool.h"

namespace client_proxy {
namespace {

// Drops the client's X-Service-Term header lines: only the proxy may set the term.
std::string withoutTermHeader(const std::string& lines) {
  constexpr std::string_view kHeader = "x-service-term:";
  std::string kept;
  for (std::size_t at = 0; at < lines.size();) {
    const std::size_t end = std::min(lines.find("\r\n", at), lines.size() - 2) + 2;
    const std::string_view line = std::string_view(lines).substr(at, end - at);
    const bool is_term = line.size() >= kHeader.size() &&
                         std::equal(kHeader.begin(), kHeader.end(), line.begin(), [](char a, char b) {
                           return a == std::tolower(static_cast<unsigned char>(b));
                         });
    if (!is_term) kept += line;
    at = end;
  }
  return kept;
}

}  // namespace

std::optional<std::uint32_t> Pool::termFor(const OpenRequest& r) const {
  if (!r.admitted.service) return 0;
  const ServiceGate::Permission permission = gate_->permission(*r.admitted.service);
  if (!permission.allowed || permission.zone != r.admitted.zone) return std::nullopt;
  return permission.term;
}

Time Pool::timeLeft(const OpenRequest& r, const Attempt& a, Time now) {
  const bool uploading =
      r.admitted.request.rest && r.upload_completed_at == 0;  // the attempt's time limit does not run yet
  const Time end = (uploading ? now : processingStart(r, a)) + a.time_limit;
  return std::min(end, r.admitted.deadline) - now;
}

std::string Pool::headFor(const OpenRequest& r, Time time_left, std::uint32_t term) const {
  const RequestHead& original = r.admitted.request.head;
  std::string head;
  head.reserve(original.method.size() + original.target.size() + original.forward.size() + 128);
  head += original.method;
  head += ' ';
  head += original.target;
  head += " HTTP/1.1\r\n";
  head += term == 0 ? original.forward : withoutTermHeader(original.forward);
  if (!original.has_host) head += "Host: api.internal\r\n";
  if (term != 0) head += "X-Service-Term: " + std::to_string(term) + "\r\n";
  head += "X-Time-Left: ";
  head += formatSeconds(time_left);
  head += "\r\n";
  const std::shared_ptr<BodyPipe>& rest = r.admitted.request.rest;
  if (rest && !rest->length()) {
    head += "Transfer-Encoding: chunked\r\n\r\n";
    return head += chunkLine(r.admitted.request.body->size());
  }
  if (rest) {
    head += "Content-Length: ";
    head += std::to_string(*rest->length());
    head += "\r\n";
  } else if (original.method != "GET" || r.admitted.request.body) {
    head += "Content-Length: ";
    head += std::to_string(r.admitted.request.body ? r.admitted.request.body->size() : 0);
    head += "\r\n";
  }
  head += "\r\n";
  return head;
}

}  // namespace client_proxy
