// Routing: targets are normalized, the most specific rule is selected, conflicting rules are rejected, and
// splits by weight are stable.
#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "routing/routes.h"
#include "routing/target.h"

namespace client_proxy::routing {
namespace {

// ---- targets ----

std::string normalized(const std::string& text) {
  const Target t = targetOf(text);
  return t.ok() ? t.text() : "rejected";
}

TEST(RoutingTarget, EquivalentSpellingsHaveOneNormalForm) {
  EXPECT_EQ(normalized("/"), "/");
  EXPECT_EQ(normalized("/a/b"), "/a/b");
  EXPECT_EQ(normalized("/a/b/"), "/a/b/");
  EXPECT_EQ(normalized("/%61/%7Eb%2D"), "/a/~b-");
  EXPECT_EQ(normalized("/caf%c3%a9"), "/caf%C3%A9");
  EXPECT_EQ(normalized("/a/./b/../c"), "/a/c");
  EXPECT_EQ(normalized("/a/b/.."), "/a/");
  EXPECT_EQ(normalized("/a/."), "/a/");
  EXPECT_EQ(normalized("/a/.."), "/");
  EXPECT_EQ(normalized("/a/%2e%2E/b"), "/b") << "escaped dots count as dots";
  EXPECT_EQ(normalized("//a///b//"), "/a/b/");
  EXPECT_EQ(normalized("/..a/b.."), "/..a/b..");
  EXPECT_EQ(normalized("/a:b@c!$&'()*+,="), "/a:b@c!$&'()*+,=");
  EXPECT_EQ(normalized("/a%20b"), "/a%20b");
  EXPECT_EQ(normalized("/%25%32%66"), "/%252f") << "unescaped once, not twice";
  EXPECT_EQ(normalized("/a?x=/../%2f;//"), "/a?x=/../%2f;//") << "the query is not normalized";
  EXPECT_EQ(normalized("/a?"), "/a?");
}

TEST(RoutingTarget, AmbiguousTargetsAreRejected) {
  for (const char* const text :
       {"",         "a",      "*",        "http://h/a", "/a%2fb",     "/a%2Fb",       "/a%5cb", "/a\\b",
        "/a;x=1/b", "/a%3bx", "/a%3B",    "/a%00",      "/a%0d%0a",   "/a%7f",        "/a%",    "/a%4",
        "/a%4g",    "/a%%41", "/a b",     "/a\tb",      "/a\x7F",     "/caf\xC3\xA9", "/a#b",   "/a?b#c",
        "/a?b c",   "/..",    "/a/../..", "/%2e%2e",    "/a/../../b", "/./.."}) {
    EXPECT_EQ(normalized(text), "rejected") << text;
  }
  EXPECT_EQ(normalized(std::string("/a\0b", 4)), "rejected");
}

// Random targets: normalizing a normalized target changes nothing, and no ambiguous sequence is left in it.
TEST(RoutingTarget, NormalizingTwiceChangesNothing) {
  std::mt19937 random(9);
  const std::string pieces[] = {"/", "a",  ".", "..", "%2e", "%41",    "%2f", "%",
                                ";", "\\", "?", "#",  "~",   "%C3%a9", "//"};
  int accepted = 0;
  for (int round = 0; round < 50'000; ++round) {
    std::string text = "/";
    for (auto n = random() % 8; n > 0; --n) text += pieces[random() % std::size(pieces)];
    const Target t = targetOf(text);
    if (!t.ok()) continue;
    ++accepted;
    ASSERT_EQ(normalized(t.text()), t.text()) << text;
    ASSERT_EQ(t.path.front(), '/');
    for (const char* const forbidden : {"//", "/./", "/../", "\\", ";", "%2F", "%2e", "%41"})
      ASSERT_EQ(t.path.find(forbidden), std::string::npos) << text << " " << t.path;
  }
  EXPECT_GT(accepted, 5'000);
}

TEST(RoutingTarget, HostIsLowerCaseWithoutPort) {
  EXPECT_EQ(hostOf("API.Example"), "api.example");
  EXPECT_EQ(hostOf("api.example.:8080"), "api.example");
  EXPECT_EQ(hostOf("[::1]:80"), "[::1]");
  for (const char* const bad : {"", "a b", "a/b", "a:b", "a:123456", "[::1", "[::1]x", "user@a", "a%41"})
    EXPECT_EQ(hostOf(bad), "") << bad;
}

// ---- routes ----

std::string nameOfRoute(const Routes& routes, const RouteQuery& query) {
  const auto index = routes.find(query);
  return index ? routes.rules()[*index].name : "none";
}

std::string routeOf(const Routes& routes, const std::string& path, const std::string& host = "",
                    const std::string& method = "GET") {
  return nameOfRoute(routes, {.host = host, .path = path, .method = method});
}

TEST(Routing, TheMostSpecificPathWins) {
  const Routes r({{.name = "any"},
                  {.name = "rest", .path = "/swap-charge/*"},
                  {.name = "rider", .path = "/swap-charge/{rider}"},
                  {.name = "seven", .path = "/swap-charge/7"},
                  {.name = "slots", .path = "/swap-charge/{rider}/slots"},
                  {.name = "whole", .path = "/swap-charge"},
                  {.name = "folder", .path = "/swap-charge/"}});
  EXPECT_EQ(routeOf(r, "/swap-charge/7"), "seven");
  EXPECT_EQ(routeOf(r, "/swap-charge/8"), "rider");
  EXPECT_EQ(routeOf(r, "/swap-charge/7/slots"), "slots") << "falls back from the literal to {rider}";
  EXPECT_EQ(routeOf(r, "/swap-charge/7/other"), "rest");
  EXPECT_EQ(routeOf(r, "/swap-charge"), "whole");
  EXPECT_EQ(routeOf(r, "/swap-charge/"), "folder");
  EXPECT_EQ(routeOf(r, "/swap-chargex"), "any") << "'/*' matches whole segments only";
  EXPECT_EQ(routeOf(r, "/"), "any");
  EXPECT_EQ(routeOf(r, ""), "none");
}

TEST(Routing, HostDecidesBeforePath) {
  const Routes r({{.name = "any", .path = "/a/b/c"},
                  {.name = "wide", .host = "*.example"},
                  {.name = "near", .host = "*.kiosk.example"},
                  {.name = "exact", .host = "api.kiosk.example", .path = "/a/*"}});
  EXPECT_EQ(routeOf(r, "/a/b/c", "api.kiosk.example"), "exact");
  EXPECT_EQ(routeOf(r, "/b", "api.kiosk.example"), "near");
  EXPECT_EQ(routeOf(r, "/a", "x.y.kiosk.example"), "near");
  EXPECT_EQ(routeOf(r, "/a", "x.example"), "wide");
  EXPECT_EQ(routeOf(r, "/a", "example"), "none") << "'*.example' matches subdomains only";
  EXPECT_EQ(routeOf(r, "/a/b/c", "example"), "any");
  EXPECT_EQ(routeOf(r, "/a/b/c"), "any");
  EXPECT_EQ(routeOf(r, "/a", "xkiosk.example"), "wide");
  EXPECT_EQ(routeOf(r, "/a", ".example"), "none");
}

TEST(Routing, MethodHeadersClassAndTenantDecideInThisOrder) {
  const Routes r({{.name = "plain", .path = "/a"},
                  {.name = "post", .path = "/a", .method = "POST"},
                  {.name = "equal", .path = "/a", .headers = {{"x-kiosk", "7"}}},
                  {.name = "there", .path = "/a", .headers = {{"x-kiosk", std::nullopt}}},
                  {.name = "class", .path = "/a", .request_class = "charge"},
                  {.name = "tenant", .path = "/a", .tenant = "acme"}});
  const std::vector<std::pair<std::string, std::string>> seven = {{"x-kiosk", "7"}},
                                                         eight = {{"x-kiosk", "8"}};
  RouteQuery query{.path = "/a", .method = "GET"};
  EXPECT_EQ(nameOfRoute(r, query), "plain");
  query.tenant = "acme";
  EXPECT_EQ(nameOfRoute(r, query), "tenant");
  query.request_class = "charge";
  EXPECT_EQ(nameOfRoute(r, query), "class");
  query.headers = eight;
  EXPECT_EQ(nameOfRoute(r, query), "there");
  query.headers = seven;
  EXPECT_EQ(nameOfRoute(r, query), "equal");
  query.method = "POST";
  EXPECT_EQ(nameOfRoute(r, query), "post");
}

std::string errorOf(std::vector<Rule> rules) {
  try {
    const Routes r(std::move(rules));
    return "none";
  } catch (const InvalidRule& f) {
    return f.what();
  }
}

TEST(Routing, RulesThatTieAreRejectedUnlessNoRequestMatchesBoth) {
  EXPECT_EQ(errorOf({{.name = "a", .path = "/x/{one}"}, {.name = "b", .path = "/x/{two}"}}),
            "routes 'a' and 'b' can match the same request, and neither is more specific");
  EXPECT_NE(errorOf({{.name = "a", .headers = {{"x", std::nullopt}}},
                     {.name = "b", .headers = {{"y", std::nullopt}}}}),
            "none");
  EXPECT_NE(errorOf({{.name = "a", .path = "/*"}, {.name = "b"}}), "none") << "both match any path";
  EXPECT_EQ(errorOf({{.name = "a", .method = "GET"}, {.name = "b", .method = "POST"}}), "none");
  EXPECT_EQ(errorOf({{.name = "a", .headers = {{"x", "1"}}}, {.name = "b", .headers = {{"x", "2"}}}}),
            "none");
  EXPECT_EQ(errorOf({{.name = "a", .request_class = "p"}, {.name = "b", .request_class = "q"}}), "none");
  EXPECT_EQ(errorOf({{.name = "a", .tenant = "p"}, {.name = "b", .request_class = "q"}}), "none")
      << "a class ranks above a tenant";
  EXPECT_EQ(errorOf({{.name = "a", .host = "h"}, {.name = "b", .host = "*.h"}, {.name = "c"}}), "none");
  EXPECT_EQ(errorOf({{.name = "a"}, {.name = "a", .path = "/x"}}), "two routes have the name 'a'");
}

TEST(Routing, ErrorNamesTheRouteWithAMalformedPattern) {
  for (const char* const path : {"a", "/a/*/b", "/a*", "/{a}b", "/a{b}", "/a//b", "/%41", "/a%2fb", "/../a",
                                 "/a/./b", "/a;b", "/a?b", "/a b", "/{}"})
    EXPECT_NE(errorOf({{.name = "r", .path = path}}).find("route 'r': '"), std::string::npos) << path;
  for (const char* const host : {"*", "*.", "API", "a b", "a:80", "*.*.a", "a."})
    EXPECT_NE(errorOf({{.name = "r", .host = host}}).find("route 'r': '"), std::string::npos) << host;
}

// ---- against a reference ----

std::vector<std::string> segmentsOf(const std::string& path) {
  std::vector<std::string> parts;
  for (std::size_t from = 1; from <= path.size();) {
    const std::size_t to = std::min(path.find('/', from), path.size());
    parts.push_back(path.substr(from, to - from));
    from = to + 1;
  }
  return parts;
}

// How specifically a rule matches, as a list that compares greater if more specific; none if it does not
// match.
std::optional<std::vector<int>> referenceRank(const Rule& rule, const RouteQuery& query) {
  std::vector<int> rank;
  if (rule.host.empty()) {
    rank.push_back(0);
  } else if (rule.host.rfind("*.", 0) == 0) {
    const std::string suffix = rule.host.substr(1);
    if (query.host.size() <= suffix.size() || query.host.substr(query.host.size() - suffix.size()) != suffix)
      return std::nullopt;
    rank.push_back(static_cast<int>(suffix.size()));
  } else {
    if (query.host != rule.host) return std::nullopt;
    rank.push_back(1000);
  }
  const std::vector<std::string> segments = segmentsOf(std::string(query.path));
  std::vector<std::string> pattern =
      rule.path.empty() ? std::vector<std::string>{"*"} : segmentsOf(rule.path);
  std::size_t i = 0;
  bool rest = false;
  for (; i < pattern.size() && !rest; ++i) {
    if (pattern[i] == "*") {
      rest = true;
      rank.push_back(0);
    } else if (i >= segments.size()) {
      return std::nullopt;
    } else if (pattern[i].front() == '{') {
      if (segments[i].empty()) return std::nullopt;
      rank.push_back(1);
    } else {
      if (segments[i] != pattern[i]) return std::nullopt;
      rank.push_back(2);
    }
  }
  if (!rest && segments.size() != pattern.size()) return std::nullopt;
  if (!rest) rank.push_back(3);  // the path ends without '/*'
  while (rank.size() < 12) rank.push_back(-1);
  if (!rule.method.empty() && rule.method != query.method) return std::nullopt;
  rank.push_back(rule.method.empty() ? 0 : 1);
  int equal = 0, present = 0;
  for (const HeaderRule& h : rule.headers) {
    bool matches_header = false;
    for (const auto& [name, value] : query.headers)
      matches_header |= name == h.name && (!h.value || *h.value == value);
    if (!matches_header) return std::nullopt;
    ++(h.value ? equal : present);
  }
  rank.push_back(equal);
  rank.push_back(present);
  return rank;
}

TEST(Routing, RandomRulesAndRequestsMatchTheReference) {
  std::mt19937 random(21);
  const auto pick = [&](std::initializer_list<const char*> all) {
    return std::string(*(all.begin() + static_cast<std::ptrdiff_t>(random() % all.size())));
  };
  int matched = 0;
  for (int round = 0; round < 400; ++round) {
    std::vector<Rule> rules;
    for (int i = 0; i < 30; ++i) {
      Rule rule{.name = "r" + std::to_string(i), .host = pick({"", "", "a.b", "*.b", "*.a.b"})};
      for (auto depth = random() % 4; depth > 0; --depth) rule.path += "/" + pick({"x", "y", "{v}"});
      if (random() % 3 == 0) rule.path += "/*";
      rule.method = pick({"", "", "GET", "POST"});
      if (random() % 4 == 0)
        rule.headers.push_back({"h", random() % 2 == 0 ? std::optional(pick({"1", "2"})) : std::nullopt});
      std::vector<Rule> extended = rules;
      extended.push_back(rule);
      if (errorOf(extended) == "none") rules = extended;
    }
    const Routes routes(rules);
    for (int n = 0; n < 100; ++n) {
      std::string path;
      for (auto depth = 1 + random() % 4; depth > 0; --depth) path += "/" + pick({"x", "y", "z", ""});
      std::string clean;  // as targetOf() returns it: only the last segment may be empty
      for (const char c : path) {
        if (c != '/' || clean.empty() || clean.back() != '/') clean += c;
      }
      const std::string host = pick({"", "a.b", "c.b", "d.a.b", "b"}), method = pick({"GET", "POST", "PUT"});
      std::vector<std::pair<std::string, std::string>> headers;
      if (random() % 2 == 0) headers.emplace_back("h", pick({"1", "2", "3"}));
      const RouteQuery query{.host = host, .path = clean, .method = method, .headers = headers};
      std::string expected = "none";
      std::vector<int> best;
      for (const Rule& rule : rules) {
        const auto rank = referenceRank(rule, query);
        if (rank && (best.empty() || *rank > best)) best = *rank, expected = rule.name;
      }
      matched += expected != "none" ? 1 : 0;
      ASSERT_EQ(nameOfRoute(routes, query), expected) << host << " " << clean << " " << method;
    }
  }
  EXPECT_GT(matched, 10'000);
}

// ---- splits ----

TEST(RoutingSplit, AKeyKeepsItsPoolAndSharesFollowTheWeights) {
  const Split canary("charges", std::vector<std::uint32_t>{1, 99}),
      same("charges", std::vector<std::uint32_t>{1, 99});
  int first = 0;
  for (int i = 0; i < 10'000; ++i) {
    const std::string key = "rider-" + std::to_string(i);
    const std::size_t pool = canary.choose(key);
    ASSERT_EQ(same.choose(key), pool);
    first += pool == 0 ? 1 : 0;
  }
  EXPECT_NEAR(first, 100, 40);
}

TEST(RoutingSplit, WhenTheFirstWeightGrowsKeysOnlyMoveToTheFirstPool) {
  const Split before("r", std::vector<std::uint32_t>{10, 90}), after("r", std::vector<std::uint32_t>{20, 80});
  int moved = 0;
  for (int i = 0; i < 10'000; ++i) {
    const std::string key = std::to_string(i);
    if (before.choose(key) == 0) {
      ASSERT_EQ(after.choose(key), 0U);
    }
    moved += before.choose(key) != after.choose(key) ? 1 : 0;
  }
  EXPECT_NEAR(moved, 1000, 150);
}

// A key must keep its pool over restarts and releases: these are the results of the first release.
TEST(RoutingSplit, PoolsOfKnownKeysNeverChange) {
  const Split s("charges", std::vector<std::uint32_t>{1, 1, 1, 1});
  std::string pools;
  for (const char* const key : {"", "a", "b", "rider-7", "rider-8", "0", "1", "2"})
    pools += std::to_string(s.choose(key));
  EXPECT_EQ(pools, "30011300");
}

TEST(RoutingSplit, PoolsOfWeightZeroGetNoKeysAndInvalidSumsThrow) {
  const Split s("r", std::vector<std::uint32_t>{0, 5, 0, 5, 0});
  for (int i = 0; i < 1000; ++i) EXPECT_EQ(s.choose(std::to_string(i)) % 2, 1U);
  EXPECT_THROW(Split("r", std::vector<std::uint32_t>{0, 0}), std::invalid_argument);
  EXPECT_THROW(Split("r", std::vector<std::uint32_t>{0xFFFFFFFFU, 0xFFFFFFFFU}), std::invalid_argument);
  EXPECT_THROW(Split("r", std::vector<std::uint32_t>{}), std::invalid_argument);
}

}  // namespace
}  // namespace client_proxy::routing
