// Routes: one spelling for each target, the most specific rule, no ties, stable splits.
#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "routing/routes.h"
#include "routing/target.h"

namespace client_proxy::routing {
namespace {

// ---- targets ----

std::string form(const std::string& text) {
  const Target t = targetOf(text);
  return t.ok() ? t.text() : "refused";
}

TEST(RoutingTarget, OneSpellingForEach) {
  EXPECT_EQ(form("/"), "/");
  EXPECT_EQ(form("/a/b"), "/a/b");
  EXPECT_EQ(form("/a/b/"), "/a/b/");
  EXPECT_EQ(form("/%61/%7Eb%2D"), "/a/~b-");
  EXPECT_EQ(form("/caf%c3%a9"), "/caf%C3%A9");
  EXPECT_EQ(form("/a/./b/../c"), "/a/c");
  EXPECT_EQ(form("/a/b/.."), "/a/");
  EXPECT_EQ(form("/a/."), "/a/");
  EXPECT_EQ(form("/a/.."), "/");
  EXPECT_EQ(form("/a/%2e%2E/b"), "/b") << "dots that were escaped are dots";
  EXPECT_EQ(form("//a///b//"), "/a/b/");
  EXPECT_EQ(form("/..a/b.."), "/..a/b..");
  EXPECT_EQ(form("/a:b@c!$&'()*+,="), "/a:b@c!$&'()*+,=");
  EXPECT_EQ(form("/a%20b"), "/a%20b");
  EXPECT_EQ(form("/%25%32%66"), "/%252f") << "undone once, never twice";
  EXPECT_EQ(form("/a?x=/../%2f;//"), "/a?x=/../%2f;//") << "the query stays";
  EXPECT_EQ(form("/a?"), "/a?");
}

TEST(RoutingTarget, WhatHostsReadInSeveralWaysIsRefused) {
  for (const char* const text :
       {"",         "a",      "*",        "http://h/a", "/a%2fb",     "/a%2Fb",       "/a%5cb", "/a\\b",
        "/a;x=1/b", "/a%3bx", "/a%3B",    "/a%00",      "/a%0d%0a",   "/a%7f",        "/a%",    "/a%4",
        "/a%4g",    "/a%%41", "/a b",     "/a\tb",      "/a\x7F",     "/caf\xC3\xA9", "/a#b",   "/a?b#c",
        "/a?b c",   "/..",    "/a/../..", "/%2e%2e",    "/a/../../b", "/./.."}) {
    EXPECT_EQ(form(text), "refused") << text;
  }
  EXPECT_EQ(form(std::string("/a\0b", 4)), "refused");
}

// Whatever bytes come: one form, that is its own form, without anything that leads elsewhere.
TEST(RoutingTarget, TheFormOfAFormIsItself) {
  std::mt19937 random(9);
  const std::string pieces[] = {"/", "a",  ".", "..", "%2e", "%41",    "%2f", "%",
                                ";", "\\", "?", "#",  "~",   "%C3%a9", "//"};
  int taken = 0;
  for (int round = 0; round < 50'000; ++round) {
    std::string text = "/";
    for (auto n = random() % 8; n > 0; --n) text += pieces[random() % std::size(pieces)];
    const Target t = targetOf(text);
    if (!t.ok()) continue;
    ++taken;
    ASSERT_EQ(form(t.text()), t.text()) << text;
    ASSERT_EQ(t.path.front(), '/');
    for (const char* const never : {"//", "/./", "/../", "\\", ";", "%2F", "%2e", "%41"})
      ASSERT_EQ(t.path.find(never), std::string::npos) << text << " " << t.path;
  }
  EXPECT_GT(taken, 5'000);
}

TEST(RoutingTarget, HostsAreNamesInSmallLettersWithoutPort) {
  EXPECT_EQ(hostOf("API.Example"), "api.example");
  EXPECT_EQ(hostOf("api.example.:8080"), "api.example");
  EXPECT_EQ(hostOf("[::1]:80"), "[::1]");
  for (const char* const bad : {"", "a b", "a/b", "a:b", "a:123456", "[::1", "[::1]x", "user@a", "a%41"})
    EXPECT_EQ(hostOf(bad), "") << bad;
}

// ---- routes ----

std::string found(const Routes& routes, const RouteQuery& asked) {
  const auto index = routes.find(asked);
  return index ? routes.rules()[*index].name : "none";
}

std::string at(const Routes& routes, const std::string& path, const std::string& host = "",
               const std::string& method = "GET") {
  return found(routes, {.host = host, .path = path, .method = method});
}

TEST(Routing, TheMostSpecificPathWins) {
  const Routes r({{.name = "any"},
                  {.name = "rest", .path = "/swap-charge/*"},
                  {.name = "rider", .path = "/swap-charge/{rider}"},
                  {.name = "seven", .path = "/swap-charge/7"},
                  {.name = "slots", .path = "/swap-charge/{rider}/slots"},
                  {.name = "whole", .path = "/swap-charge"},
                  {.name = "folder", .path = "/swap-charge/"}});
  EXPECT_EQ(at(r, "/swap-charge/7"), "seven");
  EXPECT_EQ(at(r, "/swap-charge/8"), "rider");
  EXPECT_EQ(at(r, "/swap-charge/7/slots"), "slots") << "back from a literal that leads nowhere";
  EXPECT_EQ(at(r, "/swap-charge/7/other"), "rest");
  EXPECT_EQ(at(r, "/swap-charge"), "whole");
  EXPECT_EQ(at(r, "/swap-charge/"), "folder");
  EXPECT_EQ(at(r, "/swap-chargex"), "any") << "'/*' begins at a slash";
  EXPECT_EQ(at(r, "/"), "any");
  EXPECT_EQ(at(r, ""), "none");
}

TEST(Routing, TheHostIsLookedAtFirst) {
  const Routes r({{.name = "any", .path = "/a/b/c"},
                  {.name = "wide", .host = "*.example"},
                  {.name = "near", .host = "*.kiosk.example"},
                  {.name = "exact", .host = "api.kiosk.example", .path = "/a/*"}});
  EXPECT_EQ(at(r, "/a/b/c", "api.kiosk.example"), "exact");
  EXPECT_EQ(at(r, "/b", "api.kiosk.example"), "near");
  EXPECT_EQ(at(r, "/a", "x.y.kiosk.example"), "near");
  EXPECT_EQ(at(r, "/a", "x.example"), "wide");
  EXPECT_EQ(at(r, "/a", "example"), "none") << "a name is not below itself";
  EXPECT_EQ(at(r, "/a/b/c", "example"), "any");
  EXPECT_EQ(at(r, "/a/b/c"), "any");
  EXPECT_EQ(at(r, "/a", "xkiosk.example"), "wide");
  EXPECT_EQ(at(r, "/a", ".example"), "none");
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
  RouteQuery asked{.path = "/a", .method = "GET"};
  EXPECT_EQ(found(r, asked), "plain");
  asked.tenant = "acme";
  EXPECT_EQ(found(r, asked), "tenant");
  asked.request_class = "charge";
  EXPECT_EQ(found(r, asked), "class");
  asked.headers = eight;
  EXPECT_EQ(found(r, asked), "there");
  asked.headers = seven;
  EXPECT_EQ(found(r, asked), "equal");
  asked.method = "POST";
  EXPECT_EQ(found(r, asked), "post");
}

std::string fault(std::vector<Rule> rules) {
  try {
    const Routes r(std::move(rules));
    return "none";
  } catch (const InvalidRule& f) {
    return f.what();
  }
}

TEST(Routing, TiesAreFaultsAndWhatCannotMeetIsNone) {
  EXPECT_EQ(fault({{.name = "a", .path = "/x/{one}"}, {.name = "b", .path = "/x/{two}"}}),
            "routes 'a' and 'b' can match one request, and neither is more specific");
  EXPECT_NE(fault({{.name = "a", .headers = {{"x", std::nullopt}}},
                   {.name = "b", .headers = {{"y", std::nullopt}}}}),
            "none");
  EXPECT_NE(fault({{.name = "a", .path = "/*"}, {.name = "b"}}), "none") << "both are any path";
  EXPECT_EQ(fault({{.name = "a", .method = "GET"}, {.name = "b", .method = "POST"}}), "none");
  EXPECT_EQ(fault({{.name = "a", .headers = {{"x", "1"}}}, {.name = "b", .headers = {{"x", "2"}}}}), "none");
  EXPECT_EQ(fault({{.name = "a", .request_class = "p"}, {.name = "b", .request_class = "q"}}), "none");
  EXPECT_EQ(fault({{.name = "a", .tenant = "p"}, {.name = "b", .request_class = "q"}}), "none") << "ranked";
  EXPECT_EQ(fault({{.name = "a", .host = "h"}, {.name = "b", .host = "*.h"}, {.name = "c"}}), "none");
  EXPECT_EQ(fault({{.name = "a"}, {.name = "a", .path = "/x"}}), "two routes are named 'a'");
}

TEST(Routing, AWrongPatternIsNamed) {
  for (const char* const path : {"a", "/a/*/b", "/a*", "/{a}b", "/a{b}", "/a//b", "/%41", "/a%2fb", "/../a",
                                 "/a/./b", "/a;b", "/a?b", "/a b", "/{}"})
    EXPECT_NE(fault({{.name = "r", .path = path}}).find("route 'r': '"), std::string::npos) << path;
  for (const char* const host : {"*", "*.", "API", "a b", "a:80", "*.*.a", "a."})
    EXPECT_NE(fault({{.name = "r", .host = host}}).find("route 'r': '"), std::string::npos) << host;
}

// ---- against a reference ----

std::vector<std::string> partsOf(const std::string& path) {
  std::vector<std::string> parts;
  for (std::size_t from = 1; from <= path.size();) {
    const std::size_t to = std::min(path.find('/', from), path.size());
    parts.push_back(path.substr(from, to - from));
    from = to + 1;
  }
  return parts;
}

// How a rule matches, as a list that compares greater where it is more specific; nothing: it does not.
std::optional<std::vector<int>> judged(const Rule& rule, const RouteQuery& asked) {
  std::vector<int> rank;
  if (rule.host.empty()) {
    rank.push_back(0);
  } else if (rule.host.rfind("*.", 0) == 0) {
    const std::string suffix = rule.host.substr(1);
    if (asked.host.size() <= suffix.size() || asked.host.substr(asked.host.size() - suffix.size()) != suffix)
      return std::nullopt;
    rank.push_back(static_cast<int>(suffix.size()));
  } else {
    if (asked.host != rule.host) return std::nullopt;
    rank.push_back(1000);
  }
  const std::vector<std::string> given = partsOf(std::string(asked.path));
  std::vector<std::string> wanted = rule.path.empty() ? std::vector<std::string>{"*"} : partsOf(rule.path);
  std::size_t i = 0;
  bool rest = false;
  for (; i < wanted.size() && !rest; ++i) {
    if (wanted[i] == "*") {
      rest = true;
      rank.push_back(0);
    } else if (i >= given.size()) {
      return std::nullopt;
    } else if (wanted[i].front() == '{') {
      if (given[i].empty()) return std::nullopt;
      rank.push_back(1);
    } else {
      if (given[i] != wanted[i]) return std::nullopt;
      rank.push_back(2);
    }
  }
  if (!rest && given.size() != wanted.size()) return std::nullopt;
  if (!rest) rank.push_back(3);  // the whole path
  while (rank.size() < 12) rank.push_back(-1);
  if (!rule.method.empty() && rule.method != asked.method) return std::nullopt;
  rank.push_back(rule.method.empty() ? 0 : 1);
  int equal = 0, there = 0;
  for (const HeaderRule& h : rule.headers) {
    bool met = false;
    for (const auto& [name, value] : asked.headers) met |= name == h.name && (!h.value || *h.value == value);
    if (!met) return std::nullopt;
    ++(h.value ? equal : there);
  }
  rank.push_back(equal);
  rank.push_back(there);
  return rank;
}

TEST(Routing, RandomRulesAndRequestsAgainstAReference) {
  std::mt19937 random(21);
  const auto one = [&](std::initializer_list<const char*> all) {
    return std::string(*(all.begin() + static_cast<std::ptrdiff_t>(random() % all.size())));
  };
  int matched = 0;
  for (int round = 0; round < 400; ++round) {
    std::vector<Rule> rules;
    for (int i = 0; i < 30; ++i) {
      Rule rule{.name = "r" + std::to_string(i), .host = one({"", "", "a.b", "*.b", "*.a.b"})};
      for (auto depth = random() % 4; depth > 0; --depth) rule.path += "/" + one({"x", "y", "{v}"});
      if (random() % 3 == 0) rule.path += "/*";
      rule.method = one({"", "", "GET", "POST"});
      if (random() % 4 == 0)
        rule.headers.push_back({"h", random() % 2 == 0 ? std::optional(one({"1", "2"})) : std::nullopt});
      std::vector<Rule> with = rules;
      with.push_back(rule);
      if (fault(with) == "none") rules = with;
    }
    const Routes routes(rules);
    for (int n = 0; n < 100; ++n) {
      std::string path;
      for (auto depth = 1 + random() % 4; depth > 0; --depth) path += "/" + one({"x", "y", "z", ""});
      std::string clean;  // as targetOf() gives it: no empty part but the last
      for (const char c : path) {
        if (c != '/' || clean.empty() || clean.back() != '/') clean += c;
      }
      const std::string host = one({"", "a.b", "c.b", "d.a.b", "b"}), method = one({"GET", "POST", "PUT"});
      std::vector<std::pair<std::string, std::string>> headers;
      if (random() % 2 == 0) headers.emplace_back("h", one({"1", "2", "3"}));
      const RouteQuery asked{.host = host, .path = clean, .method = method, .headers = headers};
      std::string expected = "none";
      std::vector<int> best;
      for (const Rule& rule : rules) {
        const auto rank = judged(rule, asked);
        if (rank && (best.empty() || *rank > best)) best = *rank, expected = rule.name;
      }
      matched += expected != "none" ? 1 : 0;
      ASSERT_EQ(found(routes, asked), expected) << host << " " << clean << " " << method;
    }
  }
  EXPECT_GT(matched, 10'000);
}

// ---- splits ----

TEST(RoutingSplit, AKeyStaysOnItsSideAndSharesAreWhatWasAsked) {
  const Split canary("charges", std::vector<std::uint32_t>{1, 99}),
      again("charges", std::vector<std::uint32_t>{1, 99});
  int first = 0;
  for (int i = 0; i < 10'000; ++i) {
    const std::string key = "rider-" + std::to_string(i);
    const std::size_t side = canary.choose(key);
    ASSERT_EQ(again.choose(key), side);
    first += side == 0 ? 1 : 0;
  }
  EXPECT_NEAR(first, 100, 40);
}

TEST(RoutingSplit, WhereTheFirstGrowsKeysOnlyMoveToIt) {
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

// The side of a key is a promise over restarts and releases: these are the values it was first given.
TEST(RoutingSplit, TheSidesOfKeysAreFixedForGood) {
  const Split s("charges", std::vector<std::uint32_t>{1, 1, 1, 1});
  std::string sides;
  for (const char* const key : {"", "a", "b", "rider-7", "rider-8", "0", "1", "2"})
    sides += std::to_string(s.choose(key));
  EXPECT_EQ(sides, "30011300");
}

TEST(RoutingSplit, WeightsOfZeroGetNothing) {
  const Split s("r", std::vector<std::uint32_t>{0, 5, 0, 5, 0});
  for (int i = 0; i < 1000; ++i) EXPECT_EQ(s.choose(std::to_string(i)) % 2, 1U);
  EXPECT_THROW(Split("r", std::vector<std::uint32_t>{0, 0}), std::invalid_argument);
  EXPECT_THROW(Split("r", std::vector<std::uint32_t>{0xFFFFFFFFU, 0xFFFFFFFFU}), std::invalid_argument);
  EXPECT_THROW(Split("r", std::vector<std::uint32_t>{}), std::invalid_argument);
}

}  // namespace
}  // namespace client_proxy::routing
