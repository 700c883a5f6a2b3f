// The head with which a request goes to a host.
#include <algorithm>
#include <cctype>
#include <string>
#include <string_view>

#include "net/head_rules.h"
#include "pools/pool.h"

namespace client_proxy {
namespace {

// A client has no say in it.
std::string withoutTerm(const std::string& lines) {
  constexpr std::string_view kName = "x-service-term:";
  std::string kept;
  for (std::size_t at = 0; at < lines.size();) {
    const std::size_t end = std::min(lines.find("\r\n", at), lines.size() - 2) + 2;
    const std::string_view line = std::string_view(lines).substr(at, end - at);
    const bool named = line.size() >= kName.size() &&
                       std::equal(kName.begin(), kName.end(), line.begin(), [](char a, char b) {
                         return a == std::tolower(static_cast<unsigned char>(b));
                       });
    if (!named) kept += line;
    at = end;
  }
  return kept;
}

}  // namespace

std::optional<std::uint32_t> Pool::termFor(const Open& r) const {
  if (!r.taken.service) return 0;
  const ServiceGate::Leave leave = gate_->leave(*r.taken.service);
  if (!leave.may || leave.zone != r.taken.zone) return std::nullopt;
  return leave.term;
}

Time Pool::timeLeft(const Open& r, const Attempt& a, Time now) {
  const bool uploading = r.taken.request.rest && r.uploaded == 0;  // the attempt's time has not begun to run
  const Time end = (uploading ? now : beganAt(r, a)) + a.limit;
  return std::min(end, r.taken.deadline) - now;
}

std::string Pool::headFor(const Open& r, Time time_left, std::uint32_t term) const {
  const RequestHead& from = r.taken.request.head;
  std::string head;
  head.reserve(from.method.size() + from.target.size() + from.forward.size() + 128);
  head += from.method;
  head += ' ';
  head += from.target;
  head += " HTTP/1.1\r\n";
  head += term == 0 ? from.forward : withoutTerm(from.forward);
  if (!from.has_host) head += "Host: api.internal\r\n";
  if (term != 0) head += "X-Service-Term: " + std::to_string(term) + "\r\n";
  head += "X-Time-Left: ";
  head += formatSeconds(time_left);
  head += "\r\n";
  const std::shared_ptr<BodyPipe>& rest = r.taken.request.rest;
  if (rest && !rest->length()) {
    head += "Transfer-Encoding: chunked\r\n\r\n";
    return head += chunkLine(r.taken.request.body->size());
  }
  if (rest) {
    head += "Content-Length: ";
    head += std::to_string(*rest->length());
    head += "\r\n";
  } else if (from.method != "GET" || r.taken.request.body) {
    head += "Content-Length: ";
    head += std::to_string(r.taken.request.body ? r.taken.request.body->size() : 0);
    head += "\r\n";
  }
  head += "\r\n";
  return head;
}

}  // namespace client_proxy
