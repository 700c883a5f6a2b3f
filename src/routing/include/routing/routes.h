// Selects the route of a request: the most specific rule that matches it. No I/O.
//
// Rules are compared by these criteria in order, and the first difference decides which is more specific:
//
//     host     an exact name, then '*.' with a longer name, then with a shorter one, then any host
//     path     segment by segment: a literal, then {name}, then '/*'; '/a' before '/a/*', which matches it
//     too method   a named one before any headers  more headers with a required value, then more headers that
//     must be present class, tenant   a named one before any
//
// If a rule with a more specific path does not match by method or header, one with a less specific path may.
// Two rules that can match the same request and are equally specific are an error. The cost of a lookup
// depends on the number of segments in host and path, not on the number of rules.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace client_proxy::routing {

// A header that a request must have.
struct HeaderRule {
  std::string name;                  // in lower case
  std::optional<std::string> value;  // the required value; none: the header must be present
};

// The conditions under which a request takes a route; all must be met.
struct Rule {
  std::string name = {};                                     // of the route, for messages; unique
  std::string host = {};                                     // "api.example", "*.example"; empty: any
  std::string path = {};                                     // "/a", "/a/{b}", "/a/*"; empty: any
  std::string method = {}, request_class = {}, tenant = {};  // empty: any
  std::vector<HeaderRule> headers = {};
};

// What a request is matched by.
struct RouteQuery {
  std::string_view host = {};  // as returned by hostOf(); empty: none
  std::string_view path = {};  // Target::path as returned by targetOf()
  std::string_view method = {}, request_class = {}, tenant = {};
  std::span<const std::pair<std::string, std::string>> headers = {};  // names in lower case
};

// Thrown for invalid rules. `rule` is the index of the invalid rule, `other` that of the rule it conflicts
// with, or the same index if the rule is invalid by itself.
struct InvalidRule : std::runtime_error {
  InvalidRule(std::size_t at, std::size_t with, const std::string& what)
      : std::runtime_error(what), rule(at), other(with) {}
  std::size_t rule, other;
};

class Routes {
 public:
  // Throws InvalidRule if a pattern is malformed, a name is used twice, or two rules conflict.
  explicit Routes(std::vector<Rule> rules);

  // The index in rules() of the most specific rule that matches; none if no rule does.
  std::optional<std::size_t> find(const RouteQuery& query) const;
  const std::vector<Rule>& rules() const { return rules_; }

 private:
  struct Hash {
    using is_transparent = void;
    std::size_t operator()(std::string_view s) const { return std::hash<std::string_view>{}(s); }
  };
  template <typename T>
  using ByName = std::unordered_map<std::string, T, Hash, std::equal_to<>>;
  using NodeId = std::uint32_t;
  static constexpr NodeId kNone = 0xFFFFFFFFU;
  struct Node {  // a position in the tree of path patterns
    ByName<NodeId> literal;
    NodeId variable = kNone;
    std::vector<std::uint32_t> exact, prefix;  // rules whose path ends here, without and with '/*'
  };

  NodeId nodeFor(std::size_t rule, bool& prefix);
  void add(std::size_t rule);
  bool matches(const Rule& rule, const RouteQuery& query) const;
  std::optional<std::size_t> firstOf(const std::vector<std::uint32_t>& candidates,
                                     const RouteQuery& query) const;
  std::optional<std::size_t> findFrom(NodeId node, std::string_view rest, const RouteQuery& query) const;

  std::vector<Rule> rules_;
  std::vector<Node> nodes_;
  ByName<NodeId> exact_, suffix_;  // root nodes by host name and by host suffix, which begins with a dot
  NodeId any_host_ = kNone;
};

// Chooses one of several pools by weight. A key always gets the same pool, also after a restart and in every
// instance. If the first pool's weight grows, keys only move to that pool.
class Split {
 public:
  // `salt`: the route's name, so that routes split keys independently. Throws std::invalid_argument if the
  // sum of the weights is 0 or at least 2^32.
  Split(std::string_view salt, std::span<const std::uint32_t> weights);
  // The index of the key's pool in `weights`.
  std::size_t choose(std::string_view key) const;

 private:
  std::uint64_t salt_;
  std::vector<std::uint64_t> ends_;  // the end of each pool's part of the hash range, except that of last_
  std::size_t last_;                 // the last pool with a weight above 0
};

}  // namespace client_proxy::routing
