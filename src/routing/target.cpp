#include "routing/target.h"

#include <algorithm>
#include <vector>

namespace client_proxy::routing {
namespace {

int digit(char c) {
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

// The path with each escape in its one form; what is wrong with it, or nothing.
std::string_view unescaped(std::string_view path, std::string& out) {
  constexpr std::string_view kHex = "0123456789ABCDEF";
  out.reserve(path.size());
  for (std::size_t i = 0; i < path.size(); ++i) {
    const char c = path[i];
    if (!isVisible(c)) return "a character that no path may hold";
    if (c == '\\') return "a backslash: a slash to some hosts";
    if (c == ';') return "a ';': some hosts cut the path off there";
    if (c != '%') {
      out += c;
      continue;
    }
    const int high = i + 2 < path.size() ? digit(path[i + 1]) : -1, low = high < 0 ? -1 : digit(path[i + 2]);
    if (low < 0) return "a '%' without two hexadecimal digits";
    const auto byte = static_cast<unsigned char>(high * 16 + low);
    const char meant = static_cast<char>(byte);
    if (meant == '/' || meant == '\\') return "an escaped slash: a slash to some hosts";
    if (meant == ';') return "an escaped ';': some hosts cut the path off there";
    if (byte < 0x20 || byte == 0x7F) return "an escaped control character";
    i += 2;
    if (isUnreserved(meant)) {
      out += meant;
    } else {
      out += '%';
      out += kHex[static_cast<std::size_t>(high)];
      out += kHex[static_cast<std::size_t>(low)];
    }
  }
  return {};
}

// Without '.', '..' and empty parts; false: it leads above its root.
bool withoutDots(std::string_view path, std::string& out) {
  std::vector<std::size_t> starts;  // where each part of `out` begins, its '/' included
  out.reserve(path.size());
  bool at_end = false;  // the last part leaves a '/' behind
  for (std::size_t from = 1; from <= path.size();) {
    const std::size_t to = std::min(path.find('/', from), path.size());
    const std::string_view part = path.substr(from, to - from);
    at_end = part.empty() || part == "." || part == "..";
    if (part == "..") {
      if (starts.empty()) return false;
      out.resize(starts.back());
      starts.pop_back();
    } else if (!at_end) {
      starts.push_back(out.size());
      out += '/';
      out += part;
    }
    from = to + 1;
  }
  if (at_end || out.empty()) out += '/';
  return true;
}

}  // namespace

Target targetOf(std::string_view text) {
  Target t;
  const auto faulty = [](std::string_view why) {
    Target bad;
    bad.fault = why;
    return bad;
  };
  if (text.empty() || text.front() != '/') return faulty("it does not begin with '/'");
  if (text.find('#') != std::string_view::npos) return faulty("a '#': that part is never sent");
  const std::size_t mark = std::min(text.find('?'), text.size());
  t.query = std::string(text.substr(mark));
  if (!std::all_of(t.query.begin(), t.query.end(), isVisible))
    return faulty("a character that no query may hold");
  std::string path;
  if (const std::string_view fault = unescaped(text.substr(0, mark), path); !fault.empty())
    return faulty(fault);
  if (!withoutDots(path, t.path)) return faulty("'..' above the root");
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
