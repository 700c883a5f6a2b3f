// What a run saw, in order: as a program holds it, and as lines of JSON.
#pragma once

#include <chrono>
#include <iosfwd>
#include <mutex>
#include <string>
#include <vector>

namespace client_proxy::rig {

struct Event {
  enum class What : std::uint8_t {
    Asked,
    Reached,  // a host has all of a request, whether or not it runs
    Ran,
    Answered,
    Lost,
    Started,  // a host, which is in slow start from here
    Left,
    Back,
    Fault,
    Undone
  };
  double at = 0;  // seconds since the run began
  What what = What::Fault;
  std::string id{};           // of the request
  int proxy = -1, host = -1;  // whose it is
  int status = 0;             // of an answer
  bool unsafe = false;        // asked: may run once at most
  bool excused = false;       // lost or late: its proxy was killed or frozen meanwhile
  double limit = 0;           // asked: seconds until an answer is too late
  std::string key{};          // asked, ran: of a keyed request
  std::string answer_to{};    // answered: the request that the answer was made for, if it names one
  std::string note{};         // of a fault: its step and what it does
};

// Takes events from several threads.
class Record {
 public:
  Record() : start_(std::chrono::steady_clock::now()) {}
  void add(Event event);
  std::vector<Event> events() const;
  double now() const;

 private:
  const std::chrono::steady_clock::time_point start_;
  mutable std::mutex mutex_;
  std::vector<Event> events_;
};

void writeLines(std::ostream& out, const std::vector<Event>& events);
// Throws std::runtime_error with the line's number for what is no event.
std::vector<Event> readLines(std::istream& in);

}  // namespace client_proxy::rig
