#include "events.h"

#include <array>
#include <istream>
#include <nlohmann/json.hpp>
#include <ostream>
#include <stdexcept>
#include <utility>

namespace client_proxy::rig {
namespace {

using nlohmann::json;

constexpr std::array kNames = {"asked",   "reached", "ran",  "answered", "lost",
                               "started", "left",    "back", "fault",    "undone"};

Event::What whatOf(const std::string& name) {
  for (std::size_t i = 0; i < kNames.size(); ++i) {
    if (name == kNames[i]) return static_cast<Event::What>(i);
  }
  throw std::runtime_error("'" + name + "' is no event");
}

}  // namespace

double Record::now() const {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start_).count();
}

void Record::add(Event event) {
  const std::lock_guard lock(mutex_);
  event.at = now();
  events_.push_back(std::move(event));
}

std::vector<Event> Record::events() const {
  const std::lock_guard lock(mutex_);
  return events_;
}

void writeLines(std::ostream& out, const std::vector<Event>& events) {
  for (const Event& e : events) {
    json line = {{"at", e.at}, {"what", kNames.at(static_cast<std::size_t>(e.what))}};
    if (!e.id.empty()) line["id"] = e.id;
    if (e.proxy >= 0) line["proxy"] = e.proxy;
    if (e.host >= 0) line["host"] = e.host;
    if (e.status != 0) line["status"] = e.status;
    if (e.unsafe) line["unsafe"] = true;
    if (e.excused) line["excused"] = true;
    if (e.limit > 0) line["limit"] = e.limit;
    if (!e.key.empty()) line["key"] = e.key;
    if (!e.answer_to.empty()) line["answer_to"] = e.answer_to;
    if (!e.note.empty()) line["note"] = e.note;
    out << line.dump() << '\n';
  }
}

std::vector<Event> readLines(std::istream& in) {
  std::vector<Event> events;
  std::string text;
  for (int number = 1; std::getline(in, text); ++number) {
    try {
      const json line = json::parse(text);
      events.push_back({.at = line.at("at"),
                        .what = whatOf(line.at("what")),
                        .id = line.value("id", ""),
                        .proxy = line.value("proxy", -1),
                        .host = line.value("host", -1),
                        .status = line.value("status", 0),
                        .unsafe = line.value("unsafe", false),
                        .excused = line.value("excused", false),
                        .limit = line.value("limit", 0.0),
                        .key = line.value("key", ""),
                        .answer_to = line.value("answer_to", ""),
                        .note = line.value("note", "")});
    } catch (const std::exception& e) {
      throw std::runtime_error("line " + std::to_string(number) + ": " + e.what());
    }
  }
  return events;
}

}  // namespace client_proxy::rig
