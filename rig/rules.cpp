#include "rules.h"

#include <cstdio>
#include <unordered_map>

namespace client_proxy::rig {
namespace {

constexpr int kOk = 200, kTooMany = 429, kUnavailable = 503;

struct Request {
  Event asked;
  int runs = 0, ends = 0, status = 0;
  double ended = 0;
};

std::string seconds(double s) {
  std::string text(32, '\0');
  text.resize(static_cast<std::size_t>(std::snprintf(text.data(), text.size(), "%.3f s", s)));
  return text;
}

bool refusal(int status) { return status == kTooMany || status == kUnavailable; }

class Judge {
 public:
  explicit Judge(const Leeway& leeway) : leeway_(leeway) {}

  void take(const Event& e) {
    switch (e.what) {
      case Event::What::Asked:
        ++verdict.asked;
        if (!requests_.try_emplace(e.id, Request{.asked = e}).second) say(e, "asked twice under one id");
        break;
      case Event::What::Ran:
        ran(e);
        break;
      case Event::What::Answered:
      case Event::What::Lost:
        ended(e);
        break;
      case Event::What::Left:
        leaves_[e.host] = e.at;
        break;
      case Event::What::Back:
        leaves_.erase(e.host);
        break;
      case Event::What::Reached:
      case Event::What::Started:
      case Event::What::Fault:
      case Event::What::Undone:
        break;
    }
  }
  void finish() {
    for (const auto& [id, r] : requests_) {
      if (r.ends == 0) say(r.asked, "never answered");
      if (r.asked.unsafe && r.runs > 1) say(r.asked, "unsafe, and ran " + std::to_string(r.runs) + " times");
      if (r.asked.unsafe && r.runs > 0 && refusal(r.status)) say(r.asked, "refused though it ran");
      if (r.status == kOk && r.runs == 0 && !keys_.contains(r.asked.key)) say(r.asked, "served by no host");
    }
  }
  Verdict verdict;

 private:
  void say(const Event& e, const std::string& what) {
    verdict.broken.push_back("request " + e.id + " of proxy " + std::to_string(e.proxy) + ": " + what);
  }
  void ran(const Event& e) {
    const auto it = requests_.find(e.id);
    if (it == requests_.end()) return say(e, "ran at host " + std::to_string(e.host) + ", and nobody asked");
    ++it->second.runs;
    if (!e.key.empty() && ++keys_[e.key] > 1)
      say(e, "its key ran " + std::to_string(keys_[e.key]) + " times, now at host " + std::to_string(e.host));
    const auto leave = leaves_.find(e.host);
    if (leave != leaves_.end() && it->second.asked.at > leave->second + leeway_.told)
      say(e, "sent to host " + std::to_string(e.host) + ", which left " + seconds(e.at - leave->second) +
                 " before");
  }
  void ended(const Event& e) {
    const auto it = requests_.find(e.id);
    if (it == requests_.end()) return say(e, "answered, and nobody asked");
    Request& r = it->second;
    if (++r.ends > 1) say(e, "answered twice");
    r.status = e.status;
    if (!e.answer_to.empty() && e.answer_to != e.id) say(e, "served with the answer to " + e.answer_to);
    const double took = e.at - r.asked.at;
    if (e.what == Event::What::Lost) {
      if (e.excused)
        ++verdict.excused;
      else
        say(e, "lost");
      return;
    }
    if (!e.excused && took > r.asked.limit + leeway_.late) say(e, "answered after " + seconds(took));
    ++(e.status == kOk ? verdict.served : refusal(e.status) ? verdict.refused : verdict.failed);
    if (e.status == kOk) verdict.seconds.push_back(took);
  }

  const Leeway leeway_;
  std::unordered_map<std::string, Request> requests_;
  std::unordered_map<std::string, int> keys_;  // how often each ran
  std::unordered_map<int, double> leaves_;     // hosts that drain, since when
};

}  // namespace

Verdict judge(const std::vector<Event>& events, const Leeway& leeway) {
  Judge judge(leeway);
  for (const Event& e : events) judge.take(e);
  judge.finish();
  return judge.verdict;
}

}  // namespace client_proxy::rig
