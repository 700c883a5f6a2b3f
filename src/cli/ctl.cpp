#include "cli/ctl.h"

#include <algorithm>
#include <array>
#include <boost/beast/http/verb.hpp>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>
#include <string_view>
#include <vector>

#include "cli/http_call.h"
#include "net/host_list.h"

namespace client_proxy {
namespace {

namespace http = boost::beast::http;

constexpr std::string_view kPrefix = "app_", kFleet = "app_fleet_";

struct Figure {
  std::string name, type;  // type: the class; empty: it has none
  double value = 0;
};

// The lines that are figures; others, such as comments, are passed over.
std::vector<Figure> figuresOf(const std::string& text) {
  std::vector<Figure> figures;
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) {
    if (line.empty() || line.front() == '#' || line.rfind(kFleet, 0) == 0)
      continue;  // `ctl fleet` shows these
    const std::size_t space = line.rfind(' ');
    if (space == std::string::npos) continue;
    Figure figure;
    figure.name = line.substr(0, std::min(line.find('{'), space));
    if (figure.name.rfind(kPrefix, 0) == 0) figure.name.erase(0, kPrefix.size());
    const std::size_t open = line.find("type=\""), close = line.find('"', open + 6);
    if (open != std::string::npos && close < space) figure.type = line.substr(open + 6, close - open - 6);
    figure.value = std::strtod(line.c_str() + space + 1, nullptr);
    figures.push_back(std::move(figure));
  }
  return figures;
}

// An id may hold what a path may not (RFC 3986, 2.1).
std::string escaped(const std::string& id) {
  std::string out;
  for (const char c : id) {
    const bool plain = (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                       std::string_view("-._~").find(c) != std::string_view::npos;
    std::array<char, 4> hex{};
    if (!plain) std::snprintf(hex.data(), hex.size(), "%%%02X", static_cast<unsigned>(c) & 0xFFU);
    out += plain ? std::string(1, c) : std::string(hex.data());
  }
  return out;
}

int complain(const std::string& what) {
  std::fprintf(stderr, "client-proxy ctl: %s\n", what.c_str());
  return 2;
}

}  // namespace

std::string figuresAsJson(const std::string& text) {
  nlohmann::ordered_json out = nlohmann::ordered_json::object();
  for (const Figure& f : figuresOf(text)) {
    const auto number = static_cast<std::int64_t>(f.value);
    f.type.empty() ? out[f.name] = number : out[f.name][f.type] = number;
  }
  return out.dump(2) + "\n";
}

std::string figuresAsTable(const std::string& text) {
  std::vector<std::string> columns;
  std::map<std::string, std::map<std::string, double>> rows;
  std::string single;
  std::size_t widest = 5;
  std::array<char, 160> line{};
  for (const Figure& f : figuresOf(text)) {
    if (f.type.empty()) {
      std::snprintf(line.data(), line.size(), "%-24s %12.0f\n", f.name.c_str(), f.value);
      single += line.data();
      continue;
    }
    if (std::find(columns.begin(), columns.end(), f.name) == columns.end()) columns.push_back(f.name);
    rows[f.type][f.name] = f.value;
    widest = std::max(widest, f.type.size());
  }
  const auto cell = [&](const std::string& content, std::size_t width, bool left) {
    std::string padded = content;
    padded.insert(left ? padded.size() : 0, width > content.size() ? width - content.size() : 0, ' ');
    return padded;
  };
  std::string out = cell("class", widest, true);
  for (const std::string& c : columns) out += cell(c, 14, false);
  out += '\n';
  for (const auto& [name, values] : rows) {
    out += cell(name, widest, true);
    for (const std::string& c : columns) {
      const auto it = values.find(c);
      out +=
          cell(it == values.end() ? "-" : std::to_string(static_cast<std::int64_t>(it->second)), 14, false);
    }
    out += '\n';
  }
  return out + "\n" + single;
}

std::string fleetAsTable(const std::string& page) {
  const auto doc = nlohmann::json::parse(page);
  std::array<char, 200> line{};
  const auto seconds = [](const nlohmann::json& member, const char* key) {
    std::array<char, 32> text{};
    if (!member.contains(key)) return std::string("-");
    std::snprintf(text.data(), text.size(), "%.1f s", member.at(key).get<double>());
    return std::string(text.data());
  };
  std::snprintf(line.data(), line.size(),
                "member %d of %zu: %d live, %d suspect, %d dead, %d left, %d unheard; %s%s\n\n",
                doc.at("number").get<int>(), doc.at("members").size(), doc.at("live").get<int>(),
                doc.at("suspects").get<int>(), doc.at("dead").get<int>(), doc.at("left").get<int>(),
                doc.at("unheard").get<int>(), doc.at("sure").get<bool>() ? "sure" : "not sure: ",
                doc.at("sure").get<bool>() ? "" : doc.at("doubt").get<std::string>().c_str());
  std::string out = line.data();
  std::snprintf(line.data(), line.size(), "%6s  %-8s %10s %10s  %-14s %-14s %10s  %s\n", "member", "state",
                "since", "heard", "zone", "region", "requests/s", "suspected by");
  out += line.data();
  for (const auto& m : doc.at("members")) {
    std::string by;
    for (const auto& n : m.value("suspected_by", nlohmann::json::array()))
      by += (by.empty() ? "" : ", ") + n.dump();
    std::snprintf(line.data(), line.size(), "%6d  %-8s %10s %10s  %-14s %-14s %10.1f  %s\n",
                  m.at("number").get<int>(), m.at("state").get<std::string>().c_str(),
                  seconds(m, "since_s").c_str(), seconds(m, "heard_s").c_str(), m.value("zone", "-").c_str(),
                  m.value("region", "-").c_str(), m.at("traffic").get<double>(), by.c_str());
    out += line.data();
  }
  return out;
}

std::string zonesAsTable(const std::string& page) {
  const auto doc = nlohmann::json::parse(page);
  std::array<char, 200> line{};
  std::string out = doc.at("cut_off").get<bool>() ? "this proxy hears no other zone, and has no say\n\n" : "";
  std::snprintf(line.data(), line.size(), "%-14s %-10s %6s  %-9s %10s %9s  %-6s %6s %10s\n", "zone", "state",
                "epoch", "seen here", "silent to", "answers", "order", "flaps", "away for");
  out += line.data();
  for (const auto& z : doc.at("zones")) {
    const std::string away = z.contains("away_for_s") ? z.at("away_for_s").dump() + " s" : "-";
    const auto word = [&](const char* key) { return z.at(key).get<std::string>(); };
    const auto count = [&](const char* key) { return z.at(key).get<int>(); };
    std::snprintf(line.data(), line.size(), "%-14s %-10s %6d  %-9s %10d %9d  %-6s %6d %10s\n",
                  word("zone").c_str(), word("state").c_str(), count("epoch"), word("seen_here").c_str(),
                  count("silent_to"), count("answers"), word("order").c_str(), count("flaps"), away.c_str());
    out += line.data();
  }
  return out;
}

std::string deedsAsTable(const std::string& page) {
  const auto doc = nlohmann::json::parse(page);
  std::array<char, 240> line{};
  std::string out;
  const auto row = [&](auto... cells) {
    std::snprintf(line.data(), line.size(), "%-20s %-10s %-10s %-10s %6s  %-8s %-16s %8s\n", cells...);
    out += line.data();
  };
  row("service", "home", "stand-by", "owner", "term", "ground", "requests", "wait");
  for (const auto& s : doc.at("services")) {
    const auto word = [&](const char* key) { return s.at(key).get<std::string>(); };
    const std::string sent = s.at("disputed").get<bool>() ? "disputed" : word("sent");
    row(word("service").c_str(), word("home").c_str(), word("stand_by").c_str(), word("owner").c_str(),
        s.at("term").dump().c_str(), word("ground").c_str(), sent.c_str(),
        s.contains("wait_s") ? (s.at("wait_s").dump() + " s").c_str() : "-");
  }
  for (const auto& w : doc.at("wrong_claims")) {
    const auto word = [&](const char* key) { return w.at(key).get<std::string>(); };
    out += "\n" + word("kind") + " claim" + (word("service").empty() ? "" : " of " + word("service")) +
           " by member " + w.at("claimant").dump() + ", " + w.at("times").dump() + " times" +
           (w.at("settled").get<bool>() ? ", settled" : "");
    if (w.contains("claimed"))
      out += ": term " + w.at("claimed").at("term").dump() + " against " + w.at("known").at("term").dump();
    out += "\n  stands down: " + word("stands_down") + "\n  meanwhile: " + word("meanwhile") +
           "\n  ends when: " + word("ends") + "\n";
  }
  return out;
}

std::string recoveryAsTable(const std::string& page) {
  const auto doc = nlohmann::json::parse(page);
  std::string out = "stage " + doc.at("stage").get<std::string>() +
                    "; the process before: " + doc.at("process_before").get<std::string>() + "; heard " +
                    doc.at("heard").dump() + ", majority " + doc.at("majority").dump() + "\n";
  const auto& memory = doc.at("memory");
  const std::string fault = memory.at("fault").get<std::string>();
  out += memory.at("used").get<bool>() ? "memory in use" : "no memory";
  out += fault.empty() ? "\n" : ": " + fault + "\n";
  for (const auto& w : doc.at("waits")) {
    out += "not served: " + w.at("not_served").get<std::string>() + ", until " +
           w.at("until").get<std::string>();
    if (w.contains("s")) out += ", " + w.at("s").dump() + " s";
    out += "\n";
  }
  return out;
}

int ctl(const CtlOptions& options) {
  std::string address = options.console;
  if (const char* const named = std::getenv("PROXY_CONSOLE"); address.empty() && named != nullptr)
    address = named;
  if (address.empty()) return complain("no console: give --console ADDRESS:PORT or set PROXY_CONSOLE");
  Endpoint at;
  try {
    at = parseEndpoint(address);
  } catch (const std::runtime_error& e) {
    return complain("the console " + std::string(e.what()));
  }
  const std::map<std::string, std::pair<http::verb, std::string>> calls = {
      {"stats", {http::verb::get, "/stats"}},
      {"healthy", {http::verb::get, "/healthcheck"}},
      {"drain", {http::verb::post, "/healthcheck/fail"}},
      {"undrain", {http::verb::post, "/healthcheck/ok"}},
      {"fleet", {http::verb::get, "/fleet"}},
      {"zones", {http::verb::get, "/zones"}},
      {"deeds", {http::verb::get, "/deeds"}},
      {"recovery", {http::verb::get, "/recovery"}},
      {"configuration", {http::verb::get, "/configuration"}},
      {"rehearse", {http::verb::post, "/rehearsal"}},
      {"rehearsal", {http::verb::get, "/rehearsal"}},
      {"give", {http::verb::post, "/deeds/" + escaped(options.host) + "/give/" + escaped(options.zone)}},
      {"ban", {http::verb::post, "/hosts/" + escaped(options.host) + "/maint"}},
      {"ready", {http::verb::post, "/hosts/" + escaped(options.host) + "/ready"}}};
  const auto& [method, target] = calls.at(options.what);
  const HttpAnswer said = callOnce(at, {.method = method, .target = target, .body = {}});
  if (said.error) return complain("nobody answers at " + address + ": " + said.error.message());
  const bool yes = said.ok();
  if (yes && options.what == "stats") {
    std::fputs((options.json ? figuresAsJson(said.body) : figuresAsTable(said.body)).c_str(), stdout);
  } else if (yes && options.what == "fleet" && !options.json) {
    std::fputs(fleetAsTable(said.body).c_str(), stdout);
  } else if (yes && options.what == "zones" && !options.json) {
    std::fputs(zonesAsTable(said.body).c_str(), stdout);
  } else if (yes && options.what == "deeds" && !options.json) {
    std::fputs(deedsAsTable(said.body).c_str(), stdout);
  } else if (yes && options.what == "recovery" && !options.json) {
    std::fputs(recoveryAsTable(said.body).c_str(), stdout);
  } else if ((options.what == "deeds" || options.what == "recovery") && said.status == 404) {
    return complain("this proxy has no services (docs/ownership.md)") - 1;
  } else if (options.what == "configuration" && said.status == 404) {
    return complain("this proxy follows no shared configuration (docs/configuration.md)") - 1;
  } else if ((options.what == "fleet" || options.what == "zones") && said.status == 404) {
    return complain("this proxy keeps no view of a fleet (docs/fleet.md)") - 1;
  } else {
    std::fputs(
        said.body.empty() ? ("answered " + std::to_string(said.status) + "\n").c_str() : said.body.c_str(),
        yes ? stdout : stderr);
  }
  return yes ? 0 : 1;
}

}  // namespace client_proxy
