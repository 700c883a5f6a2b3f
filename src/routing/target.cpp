#include "routing/target.h"

#include <algorithm>
#include <vector>

namespace client_proxy::routing {
namespace {

int hexDigit(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

bool isUnreserved(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '.' ||
         c == '_' || c == '~';
}

bool isVisible(char c) { return c > 0x20 && c < 0x7F; }

// Appends the path to `out` with its escapes normalized. Returns why the path is rejected; empty: it is
// valid.
std::string_view normalizeEscapes(std::string_view path, std::string& out) {
  constexpr std::string_view kHex = "0123456789ABCDEF";
  out.reserve(path.size());
  for (std::size_t i = 0; i < path.size(); ++i) {
    const char c = path[i];
    if (!isVisible(c)) return "the path contains a space, a control character or a non-ASCII byte";
    if (c == '\\') return "the path contains a backslash, which some hosts treat as a slash";
    if (c == ';') return "the path contains ';', where some hosts cut the path off";
    if (c != '%') {
      out += c;
      continue;
    }
    const int high = i + 2 < path.size() ? hexDigit(path[i + 1]) : -1,
              low = high < 0 ? -1 : hexDigit(path[i + 2]);
    if (low < 0) return "the path contains '%' without two hexadecimal digits";
    const auto byte = static_cast<unsigned char>(high * 16 + low);
    const char decoded = static_cast<char>(byte);
    if (decoded == '/' || decoded == '\\')
      return "the path contains an escaped slash, which some hosts treat as a slash";
    if (decoded == ';') return "the path contains an escaped ';', where some hosts cut the path off";
    if (byte < 0x20 || byte == 0x7F) return "the path contains an escaped control character";
    i += 2;
    if (isUnreserved(decoded)) {
      out += decoded;
    } else {
      out += '%';
      out += kHex[static_cast<std::size_t>(high)];
      out += kHex[static_cast<std::size_t>(low)];
    }
  }
  return {};
}

// Appends the path to `out` without '.', '..' and empty segments. False if a '..' leads above the root.
bool removeDotSegments(std::string_view path, std::string& out) {
  std::vector<std::size_t> starts;  // the offset in `out` of each segment's '/'
  out.reserve(path.size());
  bool trailing_slash = false;  // the last segment was dropped, so the path ends with '/'
  for (std::size_t from = 1; from <= path.size();) {
    const std::size_t to = std::min(path.find('/', from), path.size());
    const std::string_view segment = path.substr(from, to - from);
    trailing_slash = segment.empty() || segment == "." || segment == "..";
    if (segment == "..") {
      if (starts.empty()) return false;
      out.resize(starts.back());
      starts.pop_back();
    } else if (!trailing_slash) {
      starts.push_back(out.size());
      out += '/';
      out += segment;
    }
    from = to + 1;
  }
  if (trailing_slash || out.empty()) out += '/';
  return true;
}

}  // namespace

Target targetOf(std::string_view text) {
  Target t;
  const auto rejected = [](std::string_view why) {
    Target result;
    result.fault = why;
    return result;
  };
  if (text.empty() || text.front() != '/') return rejected("the target does not begin with '/'");
  if (text.find('#') != std::string_view::npos)
    return rejected("the target contains '#': a fragment is not part of a request");
  const std::size_t query_start = std::min(text.find('?'), text.size());
  t.query = std::string(text.substr(query_start));
  if (!std::all_of(t.query.begin(), t.query.end(), isVisible))
    return rejected("the query contains a space, a control character or a non-ASCII byte");
  std::string path;
  if (const std::string_view fault = normalizeEscapes(text.substr(0, query_start), path); !fault.empty())
    return rejected(fault);
  if (!removeDotSegments(path, t.path)) return rejected("'..' leads above the root");
  return t;
}

std::string hostOf(std::string_view authority) {
  std::size_t end = authority.size();
  if (!authority.empty() && authority.front() == '[') {
    end = authority.find(']');
    if (end == std::string_view::npos) return {};
    ++end;
  } else {
    end = std::min(authority.find(':'), authority.size());
  }
  const std::string_view port = authority.substr(end);
  if (!port.empty() &&
      (port.front() != ':' || port.size() > 6 ||
       !std::all_of(port.begin() + 1, port.end(), [](char c) { return c >= '0' && c <= '9'; })))
    return {};
  std::string host(authority.substr(0, end));
  if (host.size() > 1 && host.back() == '.') host.pop_back();
  for (char& c : host) {
    if (c >= 'A' && c <= 'Z') c = static_cast<char>(c - 'A' + 'a');
    const bool ok = isUnreserved(c) || c == '[' || c == ']' || c == ':';
    if (!ok) return {};
  }
  return host;
}

}  // namespace client_proxy::routing
