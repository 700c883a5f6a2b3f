// Which route a request takes: the most specific one that matches it, by an order without ties. No I/O.
//
// What makes a route more specific, the first difference decides:
//
//     host     an exact name, then '*.' before a longer name, before a shorter one, then any
//     path     part by part: a literal, then {name}, then the rest ('/*'); the whole path before '/*'
//     method   one that is named
//     headers  more that must be equal, then more that must be there
//     class, tenant   one that is named
//
// Where a more specific path does not match by method or header, a less specific one may. Two routes that
// could match one request with nothing to choose between them are an error. A look-up costs by the parts of
// the host and the path, not by the number of routes.
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

struct HeaderRule {
  std::string name;                  // in small letters
  std::optional<std::string> value;  // not there: the header must be there
};

struct Rule {
  std::string name = {};                                     // of the route, for messages; no two alike
  std::string host = {};                                     // "api.example", "*.example"; empty: any
  std::string path = {};                                     // "/a", "/a/{b}", "/a/*"; empty: any
  std::string method = {}, request_class = {}, tenant = {};  // empty: any
  std::vector<HeaderRule> headers = {};
};

struct RouteQuery {
  std::string_view host = {};  // as hostOf() gives it; empty: none
  std::string_view path = {};  // as targetOf() gives it
  std::string_view method = {}, request_class = {}, tenant = {};
  std::span<const std::pair<std::string, std::string>> headers = {};  // names in small letters
};

// What is wrong with rules: `rule` is the one at fault, `other` the one it is at odds with, or the same.
struct InvalidRule : std::runtime_error {
  InvalidRule(std::size_t at, std::size_t with, const std::string& what)
      : std::runtime_error(what), rule(at), other(with) {}
  std::size_t rule, other;
};

class Routes {
 public:
  // Throws InvalidRule.
  explicit Routes(std::vector<Rule> rules);

  // The number of the rule in the list that was given; nothing: no route.
  std::optional<std::size_t> find(const RouteQuery& asked) const;
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
  struct Node {  // after some parts of a path
    ByName<NodeId> literal;
    NodeId any_part = kNone;
    std::vector<std::uint32_t> whole, below;  // rules whose path ends here; and those with '/*' behind it
  };

  NodeId nodeFor(std::size_t rule, bool& below);
  void add(std::size_t rule);
  bool matches(const Rule& rule, const RouteQuery& asked) const;
  std::optional<std::size_t> firstOf(const std::vector<std::uint32_t>& candidates,
                                     const RouteQuery& asked) const;
  std::optional<std::size_t> findFrom(NodeId node, std::string_view rest, const RouteQuery& asked) const;

  std::vector<Rule> rules_;
  std::vector<Node> nodes_;
  ByName<NodeId> exact_, suffix_;  // the roots of hosts; a suffix with its dot in front
  NodeId any_host_ = kNone;
};

// One of several pools by weight, always the same for a key: also after a restart, and in every instance.
// Where the first's weight grows, keys only move to it.
class Split {
 public:
  // `salt`: the route's name. Throws std::invalid_argument if the sum of the
  // weights is 0 or above 2^32.
  Split(std::string_view salt, std::span<const std::uint32_t> weights);
  std::size_t choose(std::string_view key) const;

 private:
  std::uint64_t salt_;
  std::vector<std::uint64_t> ends_;  // of each part of the range of points, but for the last
  std::size_t last_;                 // that has a weight
};

}  // namespace client_proxy::routing
