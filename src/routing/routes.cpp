#include "routing/routes.h"

#include <algorithm>
#include <array>
#include <map>

#include "routing/target.h"

namespace client_proxy::routing {
namespace {

// Rules with the same host and path are ordered by this rank; the greater rank is more specific.
std::array<std::size_t, 5> rankOf(const Rule& r) {
  std::size_t equal = 0;
  for (const HeaderRule& h : r.headers) equal += h.value ? 1U : 0U;
  return {r.method.empty() ? 0U : 1U, equal, r.headers.size() - equal, r.request_class.empty() ? 0U : 1U,
          r.tenant.empty() ? 0U : 1U};
}

bool differ(const std::string& a, const std::string& b) { return !a.empty() && !b.empty() && a != b; }

// True if no request can match both rules, judged by method, class, tenant and header values.
bool disjoint(const Rule& a, const Rule& b) {
  if (differ(a.method, b.method) || differ(a.request_class, b.request_class) || differ(a.tenant, b.tenant))
    return true;
  for (const HeaderRule& x : a.headers) {
    for (const HeaderRule& y : b.headers) {
      if (x.name == y.name && x.value && y.value && *x.value != *y.value) return true;
    }
  }
  return false;
}

bool isVariable(std::string_view segment) {
  return segment.size() > 2 && segment.front() == '{' && segment.back() == '}' &&
         segment.find('{', 1) == std::string_view::npos;
}

// Removes the first segment and its '/' from `rest` and returns the segment.
std::string_view takeSegment(std::string_view& rest) {
  rest.remove_prefix(1);
  const std::size_t end = std::min(rest.find('/'), rest.size());
  const std::string_view segment = rest.substr(0, end);
  rest.remove_prefix(end);
  return segment;
}

std::uint64_t mixed(std::uint64_t x) {  // the finalizer of splitmix64
  x = (x ^ (x >> 30)) * 0xBF58476D1CE4E5B9ULL;
  x = (x ^ (x >> 27)) * 0x94D049BB133111EBULL;
  return x ^ (x >> 31);
}

std::uint64_t hashOf(std::string_view text, std::uint64_t from) {  // FNV-1a: the same on every platform
  for (const char c : text) from = (from ^ static_cast<unsigned char>(c)) * 0x100000001B3ULL;
  return from;
}

}  // namespace

Routes::Routes(std::vector<Rule> rules) : rules_(std::move(rules)) {
  std::map<std::string_view, std::size_t> names;
  for (std::size_t i = 0; i < rules_.size(); ++i) {
    const auto [it, first] = names.emplace(rules_[i].name, i);
    if (!first) throw InvalidRule(i, it->second, "two routes have the name '" + rules_[i].name + "'");
    add(i);
  }
}

Routes::NodeId Routes::nodeFor(std::size_t index, bool& prefix) {
  const Rule& rule = rules_[index];
  const auto make_node = [this] {
    nodes_.emplace_back();
    return static_cast<NodeId>(nodes_.size() - 1);
  };
  const auto invalid = [&](const std::string& what) -> InvalidRule {
    return {index, index, "route '" + rule.name + "': " + what};
  };
  NodeId node = kNone;
  if (rule.host.empty()) {
    if (any_host_ == kNone) any_host_ = make_node();
    node = any_host_;
  } else {
    const bool wild = rule.host.rfind("*.", 0) == 0;
    const std::string name = wild ? rule.host.substr(2) : rule.host;
    if (name.empty() || hostOf(name) != name)
      throw invalid("'" + rule.host + "' is neither a host name in lower case nor '*.' followed by one");
    auto& roots = wild ? suffix_ : exact_;
    const auto [it, first] = roots.emplace(wild ? "." + name : name, kNone);
    if (first) it->second = make_node();
    node = it->second;
  }
  prefix = rule.path.empty();
  if (prefix) return node;
  if (rule.path.front() != '/') throw invalid("'" + rule.path + "' does not begin with '/'");
  std::string_view rest = rule.path;
  while (!rest.empty()) {
    const std::string_view segment = takeSegment(rest);
    if (segment == "*") {
      if (!rest.empty()) throw invalid("'" + rule.path + "': '*' is only allowed at the end of a path");
      prefix = true;
      return node;
    }
    if (isVariable(segment)) {
      if (nodes_[node].variable == kNone) {
        const NodeId next = make_node();
        nodes_[node].variable = next;
      }
      node = nodes_[node].variable;
      continue;
    }
    if (segment.find_first_of("{}*") != std::string_view::npos)
      throw invalid("'" + rule.path + "': {name} and '*' must be whole segments");
    if (segment.empty() && !rest.empty()) throw invalid("'" + rule.path + "' has an empty segment");
    const auto it = nodes_[node].literal.find(segment);
    if (it != nodes_[node].literal.end()) {
      node = it->second;
      continue;
    }
    // Requests are matched after normalization, so a literal that is not normalized would never match.
    if (!segment.empty()) {
      std::string literal_path = "/";
      literal_path += segment;
      const Target t = targetOf(literal_path);
      if (!t.ok() || t.path != literal_path || !t.query.empty())
        throw invalid("'" + rule.path + "': '" + std::string(segment) +
                      "' is not in the normalized form that requests are matched in");
    }
    const NodeId next = make_node();
    nodes_[node].literal.emplace(segment, next);
    node = next;
  }
  return node;
}

void Routes::add(std::size_t index) {
  bool prefix = false;
  const NodeId node = nodeFor(index, prefix);
  std::vector<std::uint32_t>& list = prefix ? nodes_[node].prefix : nodes_[node].exact;
  const Rule& rule = rules_[index];
  const auto rank = rankOf(rule);
  auto at = list.begin();
  for (; at != list.end() && rankOf(rules_[*at]) >= rank; ++at) {
    if (rankOf(rules_[*at]) == rank && !disjoint(rules_[*at], rule))
      throw InvalidRule(index, *at,
                        "routes '" + rules_[*at].name + "' and '" + rule.name +
                            "' can match the same request, and neither is more specific");
  }
  list.insert(at, static_cast<std::uint32_t>(index));
}

bool Routes::matches(const Rule& rule, const RouteQuery& query) const {
  if (!rule.method.empty() && rule.method != query.method) return false;
  if (!rule.request_class.empty() && rule.request_class != query.request_class) return false;
  if (!rule.tenant.empty() && rule.tenant != query.tenant) return false;
  return std::all_of(rule.headers.begin(), rule.headers.end(), [&](const HeaderRule& h) {
    return std::any_of(query.headers.begin(), query.headers.end(), [&](const auto& header) {
      return header.first == h.name && (!h.value || header.second == *h.value);
    });
  });
}

std::optional<std::size_t> Routes::firstOf(const std::vector<std::uint32_t>& candidates,
                                           const RouteQuery& query) const {
  for (const std::uint32_t index : candidates) {
    if (matches(rules_[index], query)) return index;
  }
  return std::nullopt;
}

// The recursion is at most as deep as the longest path among the rules, whatever path is requested.
std::optional<std::size_t> Routes::findFrom(NodeId id, std::string_view rest, const RouteQuery& query) const {
  const Node& node = nodes_[id];
  if (rest.empty()) {
    if (const auto found = firstOf(node.exact, query)) return found;
    return firstOf(node.prefix, query);
  }
  std::string_view remainder = rest;
  const std::string_view segment = takeSegment(remainder);
  if (const auto it = node.literal.find(segment); it != node.literal.end()) {
    if (const auto found = findFrom(it->second, remainder, query)) return found;
  }
  if (node.variable != kNone && !segment.empty()) {
    if (const auto found = findFrom(node.variable, remainder, query)) return found;
  }
  return firstOf(node.prefix, query);
}

std::optional<std::size_t> Routes::find(const RouteQuery& query) const {
  if (query.path.empty() || query.path.front() != '/') return std::nullopt;
  if (!query.host.empty()) {
    if (const auto it = exact_.find(query.host); it != exact_.end()) {
      if (const auto found = findFrom(it->second, query.path, query)) return found;
    }
    // "*.example" matches subdomains of "example", not "example" itself.
    for (std::size_t dot = query.host.find('.'); !suffix_.empty() && dot != std::string_view::npos;
         dot = query.host.find('.', dot + 1)) {
      const auto it = dot == 0 ? suffix_.end() : suffix_.find(query.host.substr(dot));
      if (it == suffix_.end()) continue;
      if (const auto found = findFrom(it->second, query.path, query)) return found;
    }
  }
  return any_host_ == kNone ? std::nullopt : findFrom(any_host_, query.path, query);
}

Split::Split(std::string_view salt, std::span<const std::uint32_t> weights)
    : salt_(hashOf(salt, 0xCBF29CE484222325ULL)), last_(weights.size()) {
  std::uint64_t total = 0;
  for (std::size_t i = 0; i < weights.size(); ++i) {
    total += weights[i];
    if (weights[i] > 0) last_ = i;
  }
  if (total == 0) throw std::invalid_argument("all weights are 0");
  if (total >> 32 != 0) throw std::invalid_argument("the sum of the weights is 2^32 or more");
  std::uint64_t sum = 0;
  for (std::size_t i = 0; i < last_; ++i) {
    sum += weights[i];
    ends_.push_back(((sum << 32) / total) << 32);
  }
}

std::size_t Split::choose(std::string_view key) const {
  const std::uint64_t point = mixed(hashOf(key, salt_));
  const auto it = std::upper_bound(ends_.begin(), ends_.end(), point);
  return it == ends_.end() ? last_ : static_cast<std::size_t>(it - ends_.begin());
}

}  // namespace client_proxy::routing
