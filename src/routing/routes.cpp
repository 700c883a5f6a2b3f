#include "routing/routes.h"

#include <algorithm>
#include <array>
#include <map>

#include "routing/target.h"

namespace client_proxy::routing {
namespace {

// More is more specific; only what a path and a host leave open.
std::array<std::size_t, 5> rankOf(const Rule& r) {
  std::size_t equal = 0;
  for (const HeaderRule& h : r.headers) equal += h.value ? 1U : 0U;
  return {r.method.empty() ? 0U : 1U, equal, r.headers.size() - equal, r.request_class.empty() ? 0U : 1U,
          r.tenant.empty() ? 0U : 1U};
}

bool apart(const std::string& a, const std::string& b) { return !a.empty() && !b.empty() && a != b; }

// No request can match both.
bool disjoint(const Rule& a, const Rule& b) {
  if (apart(a.method, b.method) || apart(a.request_class, b.request_class) || apart(a.tenant, b.tenant))
    return true;
  for (const HeaderRule& x : a.headers) {
    for (const HeaderRule& y : b.headers) {
      if (x.name == y.name && x.value && y.value && *x.value != *y.value) return true;
    }
  }
  return false;
}

bool isVariable(std::string_view part) {
  return part.size() > 2 && part.front() == '{' && part.back() == '}' &&
         part.find('{', 1) == std::string_view::npos;
}

// "/a/b" without the first part, and that part.
std::string_view takePart(std::string_view& rest) {
  rest.remove_prefix(1);
  const std::size_t end = std::min(rest.find('/'), rest.size());
  const std::string_view part = rest.substr(0, end);
  rest.remove_prefix(end);
  return part;
}

std::uint64_t mixed(std::uint64_t x) {  // the finaliser of splitmix64
  x = (x ^ (x >> 30)) * 0xBF58476D1CE4E5B9ULL;
  x = (x ^ (x >> 27)) * 0x94D049BB133111EBULL;
  return x ^ (x >> 31);
}

std::uint64_t hashOf(std::string_view text, std::uint64_t from) {  // FNV-1a: the same on every machine
  for (const char c : text) from = (from ^ static_cast<unsigned char>(c)) * 0x100000001B3ULL;
  return from;
}

}  // namespace

Routes::Routes(std::vector<Rule> rules) : rules_(std::move(rules)) {
  std::map<std::string_view, std::size_t> names;
  for (std::size_t i = 0; i < rules_.size(); ++i) {
    const auto [it, first] = names.emplace(rules_[i].name, i);
    if (!first) throw InvalidRule(i, it->second, "two routes are named '" + rules_[i].name + "'");
    add(i);
  }
}

Routes::NodeId Routes::nodeFor(std::size_t index, bool& below) {
  const Rule& rule = rules_[index];
  const auto fresh = [this] {
    nodes_.emplace_back();
    return static_cast<NodeId>(nodes_.size() - 1);
  };
  const auto bad = [&](const std::string& what) -> InvalidRule {
    return {index, index, "route '" + rule.name + "': " + what};
  };
  NodeId node = kNone;
  if (rule.host.empty()) {
    if (any_host_ == kNone) any_host_ = fresh();
    node = any_host_;
  } else {
    const bool wild = rule.host.rfind("*.", 0) == 0;
    const std::string name = wild ? rule.host.substr(2) : rule.host;
    if (name.empty() || hostOf(name) != name)
      throw bad("'" + rule.host + "' is no host name in small letters, nor one with '*.' before it");
    auto& roots = wild ? suffix_ : exact_;
    const auto [it, first] = roots.emplace(wild ? "." + name : name, kNone);
    if (first) it->second = fresh();
    node = it->second;
  }
  below = rule.path.empty();
  if (below) return node;
  if (rule.path.front() != '/') throw bad("'" + rule.path + "' does not begin with '/'");
  std::string_view rest = rule.path;
  while (!rest.empty()) {
    const std::string_view part = takePart(rest);
    if (part == "*") {
      if (!rest.empty()) throw bad("'" + rule.path + "': '*' is for the end of a path");
      below = true;
      return node;
    }
    if (isVariable(part)) {
      if (nodes_[node].any_part == kNone) {
        const NodeId next = fresh();
        nodes_[node].any_part = next;
      }
      node = nodes_[node].any_part;
      continue;
    }
    if (part.find_first_of("{}*") != std::string_view::npos)
      throw bad("'" + rule.path + "': {name} and '*' stand for whole parts");
    if (part.empty() && !rest.empty()) throw bad("'" + rule.path + "' has an empty part");
    const auto it = nodes_[node].literal.find(part);
    if (it != nodes_[node].literal.end()) {
      node = it->second;
      continue;
    }
    // A spelling that no request comes in any more would never match.
    if (!part.empty()) {
      std::string alone = "/";
      alone += part;
      const Target t = targetOf(alone);
      if (!t.ok() || t.path != alone || !t.query.empty())
        throw bad("'" + rule.path + "': '" + std::string(part) +
                  "' is not in the form that requests are brought into");
    }
    const NodeId next = fresh();
    nodes_[node].literal.emplace(part, next);
    node = next;
  }
  return node;
}

void Routes::add(std::size_t index) {
  bool below = false;
  const NodeId node = nodeFor(index, below);
  std::vector<std::uint32_t>& list = below ? nodes_[node].below : nodes_[node].whole;
  const Rule& rule = rules_[index];
  const auto rank = rankOf(rule);
  auto at = list.begin();
  for (; at != list.end() && rankOf(rules_[*at]) >= rank; ++at) {
    if (rankOf(rules_[*at]) == rank && !disjoint(rules_[*at], rule))
      throw InvalidRule(index, *at,
                        "routes '" + rules_[*at].name + "' and '" + rule.name +
                            "' can match one request, and neither is more specific");
  }
  list.insert(at, static_cast<std::uint32_t>(index));
}

bool Routes::matches(const Rule& rule, const RouteQuery& asked) const {
  if (!rule.method.empty() && rule.method != asked.method) return false;
  if (!rule.request_class.empty() && rule.request_class != asked.request_class) return false;
  if (!rule.tenant.empty() && rule.tenant != asked.tenant) return false;
  return std::all_of(rule.headers.begin(), rule.headers.end(), [&](const HeaderRule& h) {
    return std::any_of(asked.headers.begin(), asked.headers.end(), [&](const auto& given) {
      return given.first == h.name && (!h.value || given.second == *h.value);
    });
  });
}

std::optional<std::size_t> Routes::firstOf(const std::vector<std::uint32_t>& candidates,
                                           const RouteQuery& asked) const {
  for (const std::uint32_t index : candidates) {
    if (matches(rules_[index], asked)) return index;
  }
  return std::nullopt;
}

// As deep as the rules' longest path at most, whatever is asked.
std::optional<std::size_t> Routes::findFrom(NodeId id, std::string_view rest, const RouteQuery& asked) const {
  const Node& node = nodes_[id];
  if (rest.empty()) {
    if (const auto found = firstOf(node.whole, asked)) return found;
    return firstOf(node.below, asked);
  }
  std::string_view after = rest;
  const std::string_view part = takePart(after);
  if (const auto it = node.literal.find(part); it != node.literal.end()) {
    if (const auto found = findFrom(it->second, after, asked)) return found;
  }
  if (node.any_part != kNone && !part.empty()) {
    if (const auto found = findFrom(node.any_part, after, asked)) return found;
  }
  return firstOf(node.below, asked);
}

std::optional<std::size_t> Routes::find(const RouteQuery& asked) const {
  if (asked.path.empty() || asked.path.front() != '/') return std::nullopt;
  if (!asked.host.empty()) {
    if (const auto it = exact_.find(asked.host); it != exact_.end()) {
      if (const auto found = findFrom(it->second, asked.path, asked)) return found;
    }
    // "*.example" is for names below it, not for "example" itself.
    for (std::size_t dot = asked.host.find('.'); !suffix_.empty() && dot != std::string_view::npos;
         dot = asked.host.find('.', dot + 1)) {
      const auto it = dot == 0 ? suffix_.end() : suffix_.find(asked.host.substr(dot));
      if (it == suffix_.end()) continue;
      if (const auto found = findFrom(it->second, asked.path, asked)) return found;
    }
  }
  return any_host_ == kNone ? std::nullopt : findFrom(any_host_, asked.path, asked);
}

Split::Split(std::string_view salt, std::span<const std::uint32_t> weights)
    : salt_(hashOf(salt, 0xCBF29CE484222325ULL)), last_(weights.size()) {
  std::uint64_t total = 0;
  for (std::size_t i = 0; i < weights.size(); ++i) {
    total += weights[i];
    if (weights[i] > 0) last_ = i;
  }
  if (total == 0) throw std::invalid_argument("all weights are 0");
  if (total >> 32 != 0) throw std::invalid_argument("the weights are too large");
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
