#include "console/calls.h"

#include <optional>
#include <utility>

namespace client_proxy::console {
namespace {

constexpr std::string_view kHosts = "/hosts/", kDeeds = "/deeds/";

int hexDigit(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

// Nothing: not a whole escape, or one that stands for a byte that no id has.
std::optional<std::string> decoded(std::string_view text) {
  std::string out;
  out.reserve(text.size());
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      out += text[i];
      continue;
    }
    if (i + 2 >= text.size()) return std::nullopt;
    const int high = hexDigit(text[i + 1]), low = hexDigit(text[i + 2]);
    if (high < 0 || low < 0 || high * 16 + low < 0x20) return std::nullopt;
    out += static_cast<char>(high * 16 + low);
    i += 2;
  }
  return out;
}

Read fault(int status, std::string_view allow = {}) { return {.status = status, .allow = allow}; }

Read only(std::string_view method, std::string_view wanted, Read read) {
  const bool head = wanted == "GET" && method == "HEAD";
  return method == wanted || head ? std::move(read) : fault(405, wanted);
}

Read readHostCall(std::string_view method, std::string_view rest) {
  const std::size_t slash = rest.rfind('/');
  if (slash == std::string_view::npos || slash == 0) return fault(404);
  const std::string_view verb = rest.substr(slash + 1);
  const Call call = verb == "maint" ? Call::Maint : verb == "ready" ? Call::Ready : Call::None;
  if (call == Call::None) return fault(404);
  std::optional<std::string> id = decoded(rest.substr(0, slash));
  if (!id) return fault(400);
  return only(method, "POST", {.call = call, .status = 200, .host = std::move(*id)});
}

Read readDeedCall(std::string_view method, std::string_view rest) {
  constexpr std::string_view kGive = "/give/";
  const std::size_t give = rest.find(kGive);
  if (give == std::string_view::npos || give == 0 || give + kGive.size() == rest.size()) return fault(404);
  std::optional<std::string> service = decoded(rest.substr(0, give));
  std::optional<std::string> zone = decoded(rest.substr(give + kGive.size()));
  if (!service || !zone) return fault(400);
  return only(method, "POST",
              {.call = Call::Give, .status = 200, .service = std::move(*service), .zone = std::move(*zone)});
}

}  // namespace

Read readCall(std::string_view method, std::string_view target) {
  const std::string_view path = target.substr(0, target.find_first_of("?#"));
  if (path.empty() || path.front() != '/') return fault(400);
  if (path == "/healthcheck") return only(method, "GET", {.call = Call::Healthcheck, .status = 200});
  if (path == "/stats") return only(method, "GET", {.call = Call::Stats, .status = 200});
  if (path == "/healthcheck/fail") return only(method, "POST", {.call = Call::Fail, .status = 200});
  if (path == "/healthcheck/ok") return only(method, "POST", {.call = Call::Ok, .status = 200});
  if (path == "/rehearsal" && method == "POST") return {.call = Call::Rehearse, .status = 200};
  if (path.substr(0, kHosts.size()) == kHosts) return readHostCall(method, path.substr(kHosts.size()));
  if (path.substr(0, kDeeds.size()) == kDeeds) return readDeedCall(method, path.substr(kDeeds.size()));
  const bool get = method == "GET" || method == "HEAD";
  return {.call = Call::Page, .status = get ? 200 : 405, .allow = get ? "" : "GET", .page = path};
}

}  // namespace client_proxy::console
