#include "hot_restart/link.h"

#include <sys/socket.h>

#include <boost/asio/post.hpp>
#include <cctype>
#include <exception>
#include <utility>

namespace client_proxy::hot_restart {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

// The program's first name: a process of any version has to find the one it replaces.
constexpr const char* kSocketPrefix = "/quinceline-";

}  // namespace

std::string socketPath(const std::string& folder, std::string_view name) {
  std::string path = folder + kSocketPrefix;
  for (const char c : name) path += std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' ? c : '_';
  return path + ".sock";
}

HotRestartLink::HotRestartLink(asio::io_context& io, std::string path, std::string name,
                               HotRestartHandler& handler, Limits limits)
    : io_(io),
      path_(std::move(path)),
      name_(std::move(name)),
      handler_(handler),
      limits_(limits),
      predecessor_(name_),
      loading_(io),
      look_(io) {}

HotRestartLink::~HotRestartLink() {
  *alive_ = false;
  if (old_) old_->close();
  for (const auto& [id, peer] : peers_) peer->close();
}

// ---- as the new process ----

void HotRestartLink::begin() {
  try {
    old_ = std::make_shared<Channel>(io_, connectTo(path_));
  } catch (const std::exception& e) {
    return startFresh();  // nobody is there; what is left of one that was killed does not answer
  }
  old_->start(
      [this, alive = alive_](const Frame& frame, OwnedDescriptor descriptor) {
        if (*alive) onOldFrame(frame, std::move(descriptor));
      },
      [this, alive = alive_] {
        if (*alive) carryOut(successor_role_.onGone());
      });
  loading_.expires_after(limits_.loading);
  loading_.async_wait([this, alive = alive_](error_code ec) {
    if (ec || !*alive) return;
    state_ ? takePlace() : carryOut(successor_role_.onTimeUp());
  });
  old_->send({Type::Hello, name_});
}

void HotRestartLink::startFresh() {
  if (old_) old_->close();
  loading_.cancel();
  handler_.begin(std::nullopt);
  listen();
}

void HotRestartLink::onOldFrame(const Frame& frame, OwnedDescriptor descriptor) {
  const SuccessorRole::Step step = successor_role_.onFrame(frame);
  if (step != SuccessorRole::Step::Pass) return carryOut(step);
  if (frame.type == Type::RequestRecord) return onTried(frame.payload);
  if (state_) takePlace();
  if (frame.type == Type::Client) {
    if (descriptor.valid()) handler_.adopt(descriptor.release());
  } else if (frame.type == Type::Holds) {
    handler_.otherHolds(static_cast<std::size_t>(numberOf(frame.payload).value_or(0)));
  } else {
    handler_.told(frame);
  }
}

void HotRestartLink::onTried(const std::string& text) {
  std::vector<admission::RequestRecord> tried;
  try {
    tried = triedFromText(text);
  } catch (const std::exception& e) {
    handler_.log(e.what());
  }
  if (!state_) return handler_.recordPredecessorRequests(tried);
  if (tried.empty()) return takePlace();
  state_->tried.insert(state_->tried.end(), tried.begin(), tried.end());
}

// Whoever comes next finds this process, not the old one.
void HotRestartLink::takePlace() {
  loading_.cancel();
  handler_.begin(std::exchange(state_, std::nullopt));
  listen();
  handler_.log("took over from the process before this one");
}

void HotRestartLink::carryOut(SuccessorRole::Step step) {
  switch (step) {
    case SuccessorRole::Step::None:
    case SuccessorRole::Step::Pass:
      return;
    case SuccessorRole::Step::Fresh:
      handler_.log("the process before this one did not hand over: starting from nothing");
      return startFresh();
    case SuccessorRole::Step::Ended:
      if (state_) takePlace();
      handler_.log("the process before this one has left");
      return handler_.otherHolds(0);
    case SuccessorRole::Step::Load:
      break;
  }
  try {
    state_ = fromText(successor_role_.state());
  } catch (const std::exception& e) {
    handler_.log(std::string("what the process before this one knew is not used: ") + e.what());
  }
  // Accepting waits until the old one accepts nobody and has told what it took meanwhile: a request and its
  // repeat must not be taken by two processes that do not know of each other's. The clients' socket is
  // shared, so nobody is refused for that.
  const bool waits = state_ && state_->tells_tried;
  if (!waits) takePlace();
  old_->send({Type::Ready, std::string(kUnderstandsTried)});
}

// ---- as the old process ----

void HotRestartLink::listen() {
  try {
    listener_.emplace(io_, listenAt(path_).release());
    accept();
  } catch (const std::exception& e) {
    handler_.log(std::string("no process can take this one's place: ") + e.what());
  }
}

void HotRestartLink::accept() {
  listener_->async_wait(asio::posix::descriptor_base::wait_read, [this, alive = alive_](error_code ec) {
    if (ec || !*alive) return;
    OwnedDescriptor socket(
        ::accept4(listener_->native_handle(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (socket.valid()) {
      const PeerId id = next_peer_++;
      const auto channel = std::make_shared<Channel>(io_, std::move(socket));
      peers_[id] = channel;
      predecessor_.onPeer(id);
      channel->start(
          [this, id, alive](const Frame& frame, const OwnedDescriptor&) {
            if (*alive) onNewFrame(id, frame);
          },
          [this, id, alive] {
            if (!*alive) return;
            carryOut(id, predecessor_.onPeerGone(id), {});
            peers_.erase(id);
          });
    }
    accept();
  });
}

void HotRestartLink::onNewFrame(PeerId peer, const Frame& frame) {
  carryOut(peer, predecessor_.onFrame(peer, frame), frame);
}

void HotRestartLink::carryOut(PeerId peer, PredecessorRole::Step step, const Frame& frame) {
  const auto it = peers_.find(peer);
  if (it == peers_.end()) return;
  const Shared channel = it->second;
  switch (step) {
    case PredecessorRole::Step::None:
      return;
    case PredecessorRole::Step::SendState:
      return sendState(*channel);
    case PredecessorRole::Step::Dismiss:
      channel->close();
      predecessor_.onPeerGone(peer);
      peers_.erase(peer);
      return;
    case PredecessorRole::Step::RollBack:
      handler_.log("the process that took over has gone: serving again");
      look_.cancel();
      handler_.rollBack();
      return listen();
    case PredecessorRole::Step::Pass:
      handler_.told(frame);
      for (const auto& [id, other] : peers_) {
        if (id != peer && predecessor_.informed(id)) other->send(frame);
      }
      return;
    case PredecessorRole::Step::Give:
      break;
  }
  handler_.log("another process takes over: handing clients on");
  listener_.reset();  // the path is the other's
  given_at_ = std::chrono::steady_clock::now();
  Successor successor;
  if (frame.payload == kUnderstandsTried) {
    successor.tell = [channel](const std::vector<admission::RequestRecord>& tried) {
      for (std::string& text : triedToTexts(tried)) channel->send({Type::RequestRecord, std::move(text)});
    };
  }
  successor.give = [channel](int descriptor) { return channel->send({Type::Client, {}}, descriptor); };
  successor.waiting = [channel] { return channel->open() ? channel->waiting() : 0; };
  handler_.give(std::move(successor));
  look();
}

void HotRestartLink::sendState(Channel& to) {
  const std::string text = toText(handler_.state());
  for (std::size_t at = 0; at < text.size(); at += kMostPayload)
    to.send({Type::StatePart, text.substr(at, kMostPayload)});
  to.send({Type::StateEnd, std::to_string(text.size())});
}

void HotRestartLink::look() {
  const auto successor = predecessor_.successor();
  if (!successor) return;
  if (handler_.finished() && std::chrono::steady_clock::now() - given_at_ >= limits_.stay)
    return handler_.leave();
  if (const std::size_t held = handler_.descriptorsHeld(); held != last_held_) {
    last_held_ = held;
    peers_.at(*successor)->send({Type::Holds, std::to_string(held)});
  }
  look_.expires_after(limits_.look);
  look_.async_wait([this, alive = alive_](error_code ec) {
    if (!ec && *alive) look();
  });
}

void HotRestartLink::tell(const Frame& call) {
  if (old_ && successor_role_.settled()) old_->send(call);
  for (const auto& [id, peer] : peers_) {
    if (predecessor_.informed(id)) peer->send(call);
  }
}

}  // namespace client_proxy::hot_restart
