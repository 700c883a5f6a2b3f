// The watch on discovery: one call at a time, its answer a stream of lines.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <string>

#include "net/host_list.h"
#include "net/http.h"
#include "net/log.h"
#include "net/timers.h"

namespace client_proxy {

class DiscoverySink {
 public:
  virtual ~DiscoverySink() = default;
  // One object of the stream, in order.
  virtual void onHostList(const HostList& list) = 0;
  // The call failed or the watch broke; once for each subscribe().
  virtual void onDiscoveryLost(const std::string& why) = 0;
};

class Discovery {
 public:
  // One clock: a change counts as told 6 s after discovery had it and could be reached, whatever was tried
  // before. The longest ways there, with the module's waits (decision/balancer_impl.h):
  //   a watch that falls silent      silence 4.3 + wait 0.7 + the answer to the next call, up to 1   = 6.0 s
  //   a call that is never answered  first_line 2.5 + wait 2.0 + the answer, up to 1                 = 5.5 s
  //   a connection that never comes  connect 1.0 + wait 2.0 + the answer, up to 1                    = 4.0 s
  struct Limits {
    Time connect = kSecond;
    // A call waits its turn at discovery, which ends it itself after a second or so; that is not silence.
    Time first_line = 2500 * kMillisecond;
    // Two heartbeats (one every 2 s) that are missing, and a little more.
    Time silence = 4300 * kMillisecond;
  };
  // Where lists are pushed an agent on our own machine answers at once and at no cost, and what it has counts
  // as told though we have not asked: a call that it leaves unanswered is made again at once.
  static Limits agentLimits();
  static constexpr Time kAgentAgain = 50 * kMillisecond;

  Discovery(boost::asio::io_context& io, Timers& timers, Zones& zones, DiscoverySink& sink,
            const Endpoint& endpoint, std::uint64_t revision, Limits limits);
  ~Discovery();

  // Opens a watch from the last revision held; one that is open is closed first, silently.
  void subscribe();
  // Discovery is elsewhere now, and may count revisions of its own: asks there at once for the whole list.
  // Until that has come, the watch on the old one goes on, for as long as that keeps it open.
  void moveTo(const Endpoint& endpoint);
  // From what revision the next watch asks; 0: the whole list.
  void askFrom(std::uint64_t revision) { revision_ = revision; }
  const Endpoint& endpoint() const { return endpoint_; }
  std::uint64_t revision() const { return revision_; }

 private:
  class Watch;

  boost::asio::io_context& io_;
  Timers& timers_;
  Zones& zones_;
  DiscoverySink& sink_;
  Endpoint endpoint_;
  std::uint64_t revision_;
  Limits limits_;
  std::shared_ptr<Watch> watch_;
  std::shared_ptr<Watch> former_;  // on the old address
};

}  // namespace client_proxy
