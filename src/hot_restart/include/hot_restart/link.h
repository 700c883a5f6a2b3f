// The sockets between two processes of one proxy, around the roles.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "hot_restart/channel.h"
#include "hot_restart/roles.h"
#include "hot_restart/state.h"
#include "hot_restart/successor.h"

namespace client_proxy::hot_restart {

// The proxy, as the link sees it.
class HotRestartHandler {
 public:
  virtual ~HotRestartHandler() = default;
  // Serve from now on: with what the old process knew, or from nothing.
  virtual void begin(std::optional<State> state) = 0;
  virtual State state() = 0;
  // The new process serves, or is about to: accept nobody, tell what was tried, and give each client's
  // connection at rest.
  virtual void give(Successor successor) = 0;
  // The new process has gone: serve as before.
  virtual void rollBack() = 0;
  // A client's connection at rest, from the old process.
  virtual void adopt(int descriptor) = 0;
  // What may not run a second time here, from the old process.
  virtual void recordPredecessorRequests(const std::vector<admission::RequestRecord>& tried) = 0;
  virtual std::size_t descriptorsHeld() = 0;
  // The other process holds so many of the descriptors that both may hold together.
  virtual void otherHolds(std::size_t descriptors) = 0;
  // What staff have told the other process.
  virtual void told(const Frame& call) = 0;
  // Nothing is left here, and the new process serves.
  virtual bool finished() = 0;
  virtual void leave() = 0;
  virtual void log(const std::string& line) = 0;
};

class HotRestartLink {
 public:
  struct Limits {
    std::chrono::milliseconds loading{1500};  // for the old one to tell its state
    std::chrono::milliseconds look{50};       // between two looks whether all is given
    std::chrono::milliseconds stay{1000};     // at least, after the new one is ready: staff may be calling
  };

  // `path`: of the socket, in a folder that both processes share.
  HotRestartLink(boost::asio::io_context& io, std::string path, std::string name, HotRestartHandler& handler,
                 Limits limits);
  HotRestartLink(boost::asio::io_context& io, std::string path, std::string name, HotRestartHandler& handler)
      : HotRestartLink(io, std::move(path), std::move(name), handler, Limits{}) {}
  ~HotRestartLink();

  // Looks for a process to take the place of; HotRestartHandler::begin() follows, once, at the latest after
  // Limits::loading.
  void begin();
  // Staff have told this process: the other one is to know.
  void tell(const Frame& call);
  bool handingOver() const { return predecessor_.handingOver(); }

 private:
  using Shared = std::shared_ptr<Channel>;

  void startFresh();
  void takePlace();
  void onOldFrame(const Frame& frame, OwnedDescriptor descriptor);
  void onTried(const std::string& text);
  void carryOut(SuccessorRole::Step step);
  void listen();
  void accept();
  void onNewFrame(PeerId peer, const Frame& frame);
  void carryOut(PeerId peer, PredecessorRole::Step step, const Frame& frame);
  void sendState(Channel& to);
  void look();

  boost::asio::io_context& io_;
  const std::string path_, name_;
  HotRestartHandler& handler_;
  const Limits limits_;
  PredecessorRole predecessor_;
  SuccessorRole successor_role_;
  Shared old_;
  std::optional<State> state_;  // waits for what the old process has tried since it told its state
  std::map<PeerId, Shared> peers_;
  PeerId next_peer_ = 1;
  std::optional<boost::asio::posix::stream_descriptor> listener_;
  boost::asio::steady_timer loading_, look_;
  std::chrono::steady_clock::time_point given_at_{};
  std::size_t last_held_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // for what may still be called
};

// Where the processes of the proxy `name` meet in `folder`.
std::string socketPath(const std::string& folder, std::string_view name);

}  // namespace client_proxy::hot_restart
