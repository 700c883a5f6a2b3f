// Connections to hosts: a pool for each, one attempt or probe at a time on a connection. Each start() and
// probe() ends in exactly one report. It never resends, retries or picks a host.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "net/body_pipe.h"
#include "net/descriptors.h"
#include "net/host_list.h"
#include "net/http.h"
#include "net/idle_need.h"
#include "net/memory_account.h"
#include "net/timers.h"

namespace client_proxy {

using AttemptId = std::uint64_t;  // chosen by the caller, never used twice

// What follows the head of an attempt; the head itself is asked for when its first byte can be written.
struct AttemptRequest {
  std::shared_ptr<const std::string> body;  // may be null
  std::shared_ptr<BodyPipe> rest;  // what follows `body`; where its length is not known the head says chunked
                                   // and ends with the size line of `body` as a chunk (RFC 9112, 7.1)
  bool unrepeatable = false;       // once it may have run, that was its only chance
};

struct AttemptEnd {
  load_balancer::Result result = load_balancer::Result::NotSent;
  std::string body;  // of an Ok
  std::string content_type;
  std::string load;  // the host's report of its load, if one came
  std::string
      term;        // of a Rejected: the newer term of its service that the host knows; empty: it is not that
  Time begun = 0;  // when the first byte of an answer came; 0: none has
};

// An answer too long to be held has begun: what has come, and where the rest will come.
struct LongAnswer {
  std::string body;  // not empty
  std::string content_type;
  std::shared_ptr<BodyPipe> rest;
};

// What upstream tells. Reports may come from within start(); calls back into upstream are allowed from each.
class AttemptSink {
 public:
  virtual ~AttemptSink() = default;
  virtual void onAttemptEnd(AttemptId id, AttemptEnd end) = 0;
  // The first byte of the attempt can be written now. Returns its head, complete with the empty line, as it
  // holds at this moment; nothing if the attempt must not begin any more, and then its end is NotSent.
  // `late`: there was a wait since start(), for the connection or for room in it. Must not call back.
  virtual std::optional<std::string> onAttemptReady(AttemptId id, bool late) = 0;
  // A part of the attempt is written, and more can be. False: its host must not get the rest, and then its
  // end is NotSent. Must not call back.
  virtual bool mayComplete(AttemptId id) = 0;
  // Its last byte is with the kernel: the host may have it whole. Once at most, before its end.
  virtual void onAttemptWritten(AttemptId id) = 0;
  // It is served, by a long answer. Once at most; its end follows when all has come, or broke off, or when
  // nobody takes it any more.
  virtual void onAttemptAnswers(AttemptId id, LongAnswer answer) = 0;
  virtual void onHealthCheckEnd(const std::string& uid, bool ok, Time latency, const std::string& load) = 0;
};

class Upstream {
 public:
  struct Limits {
    Time connect_timeout = 250 * kMillisecond;
    Time idle = 10 * kSecond;  // when hosts close idle connections
    Time health_check_timeout = 500 * kMillisecond;
    Time answer_whole = 250 * kMillisecond;  // an answer may stand still for, on its way
    Time long_still = 4 * kSecond;           // the same for a long one, and for a long request on its way
    bool health_check_load = false;          // hosts report their load to probes
    // Nothing is written on a connection for so long after an answer: a second answer of the host's, which
    // may come some milliseconds later, would pass for the answer to the next request.
    Time reuse_delay = 25 * kMillisecond;
  };

  // `memory`: of the buffers of all connections.
  Upstream(boost::asio::io_context& io, Timers& timers, Descriptors& descriptors, AttemptSink& sink,
           Limits limits, std::shared_ptr<MemoryAccount> memory = MemoryAccount::unlimited());
  ~Upstream();

  // For what begins from now on.
  void reconfigure(const Limits& limits) { limits_ = limits; }

  // A host and where it is. A new endpoint retires the idle connections to the old one.
  void setHost(const std::string& uid, const Endpoint& endpoint);
  void removeHost(const std::string& uid);
  // What rests is closed: the host is out of use, and is about to restart.
  void closeIdleTo(std::string_view uid);
  bool knows(std::string_view uid) const;

  void start(AttemptId id, std::string_view uid, AttemptRequest request);
  // Stop waiting: the connection is closed and `as` reported, at once. Nothing happens if the attempt has
  // ended.
  void giveUp(AttemptId id, load_balancer::Result as);
  // A 200 answer to it is coming; that it keeps its pace is watched here.
  bool answering(AttemptId id) const;
  void probe(std::string_view uid);

  // From now on no connection is kept for a next attempt, or again as usual.
  void keepConnections(bool keep);
  bool closeOneIdle();
  std::size_t connections() const { return connections_.size(); }

 private:
  class Connection;
  friend class Connection;
  struct Pool {
    Endpoint endpoint;
    std::vector<Connection*> idle;  // the most recently used last; the last ones may not be reusable yet
    IdleNeed need;
    double broken_reuse = 0;  // part of the uses of kept connections that broke without an answer, or after
                              // which the host sent what nobody had asked for
  };
  struct NameHash {
    using is_transparent = void;
    std::size_t operator()(std::string_view s) const { return std::hash<std::string_view>{}(s); }
  };

  // The newest idle connection that may be used at once, else the one that may be used next.
  Connection* takeIdle(Pool& pool);
  // The end of the idle connections that may be used again.
  std::vector<Connection*>::iterator reusableEnd(Pool& pool) const;
  Connection* open(const std::string& uid, const Endpoint& endpoint);
  void noteReuse(const std::string& uid, bool broke);
  void keep(Connection& connection);
  void forget(Connection& connection);  // no longer idle
  void closeIdle(Pool& pool);
  void countBusy(const std::string& uid, bool busy);
  void sweep();
  Time idleLimit() const;

  boost::asio::io_context& io_;
  Timers& timers_;
  Descriptors& descriptors_;
  AttemptSink& sink_;
  Limits limits_;
  std::shared_ptr<MemoryAccount> memory_;
  std::array<char, std::size_t{32} * 1024> received_;  // of one read, of any connection
  std::unordered_map<std::string, Pool, NameHash, std::equal_to<>> pools_;
  std::unordered_map<std::uint64_t, std::shared_ptr<Connection>> connections_;
  std::unordered_map<AttemptId, Connection*> attempts_;  // that have no report yet
  std::uint64_t next_connection_ = 1;
  bool keeps_ = true;
};

}  // namespace client_proxy
