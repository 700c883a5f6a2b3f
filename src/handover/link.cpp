#include "handover/link.h"

#include <sys/socket.h>

#include <boost/asio/post.hpp>
#include <cctype>
#include <exception>
#include <utility>

namespace client_proxy::handover {
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

Link::Link(asio::io_context& io, std::string path, std::string name, Holder& holder, Limits limits)
    : io_(io),
      path_(std::move(path)),
      name_(std::move(name)),
      holder_(holder),
      limits_(limits),
      giver_(name_),
      loading_(io),
      look_(io) {}

Link::~Link() {
  *alive_ = false;
  if (old_) old_->close();
  for (const auto& [id, peer] : peers_) peer->close();
}

// ---- as the new process ----

void Link::begin() {
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
        if (*alive) carryOut(taker_.onGone());
      });
  loading_.expires_after(limits_.loading);
  loading_.async_wait([this, alive = alive_](error_code ec) {
    if (ec || !*alive) return;
    state_ ? takePlace() : carryOut(taker_.onTimeUp());
  });
  old_->send({Type::Hello, name_});
}

void Link::startFresh() {
  if (old_) old_->close();
  loading_.cancel();
  holder_.begin(std::nullopt);
  listen();
}

void Link::onOldFrame(const Frame& frame, OwnedDescriptor descriptor) {
  const Taker::Step step = taker_.onFrame(frame);
  if (step != Taker::Step::Pass) return carryOut(step);
  if (frame.type == Type::Tried) return onTried(frame.payload);
  if (state_) takePlace();
  if (frame.type == Type::Client) {
    if (descriptor.valid()) holder_.adopt(descriptor.release());
  } else if (frame.type == Type::Holds) {
    holder_.otherHolds(static_cast<std::size_t>(numberOf(frame.payload).value_or(0)));
  } else {
    holder_.told(frame);
  }
}

void Link::onTried(const std::string& text) {
  std::vector<admission::Tried> tried;
  try {
    tried = triedFromText(text);
  } catch (const std::exception& e) {
    holder_.log(e.what());
  }
  if (!state_) return holder_.triedThere(tried);
  if (tried.empty()) return takePlace();
  state_->tried.insert(state_->tried.end(), tried.begin(), tried.end());
}

// Whoever comes next finds this process, not the old one.
void Link::takePlace() {
  loading_.cancel();
  holder_.begin(std::exchange(state_, std::nullopt));
  listen();
  holder_.log("took over from the process before this one");
}

void Link::carryOut(Taker::Step step) {
  switch (step) {
    case Taker::Step::None:
    case Taker::Step::Pass:
      return;
    case Taker::Step::Fresh:
      holder_.log("the process before this one did not hand over: starting from nothing");
      return startFresh();
    case Taker::Step::Ended:
      if (state_) takePlace();
      holder_.log("the process before this one has left");
      return holder_.otherHolds(0);
    case Taker::Step::Load:
      break;
  }
  try {
    state_ = fromText(taker_.state());
  } catch (const std::exception& e) {
    holder_.log(std::string("what the process before this one knew is not used: ") + e.what());
  }
  // Accepting waits until the old one accepts nobody and has told what it took meanwhile: a request and its
  // repeat must not be taken by two processes that do not know of each other's. The clients' socket is
  // shared, so nobody is refused for that.
  const bool waits = state_ && state_->tells_tried;
  if (!waits) takePlace();
  old_->send({Type::Ready, std::string(kUnderstandsTried)});
}

// ---- as the old process ----

void Link::listen() {
  try {
    listener_.emplace(io_, listenAt(path_).release());
    accept();
  } catch (const std::exception& e) {
    holder_.log(std::string("no process can take this one's place: ") + e.what());
  }
}

void Link::accept() {
  listener_->async_wait(asio::posix::descriptor_base::wait_read, [this, alive = alive_](error_code ec) {
    if (ec || !*alive) return;
    OwnedDescriptor socket(
        ::accept4(listener_->native_handle(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (socket.valid()) {
      const PeerId id = next_peer_++;
      const auto channel = std::make_shared<Channel>(io_, std::move(socket));
      peers_[id] = channel;
      giver_.onPeer(id);
      channel->start(
          [this, id, alive](const Frame& frame, const OwnedDescriptor&) {
            if (*alive) onNewFrame(id, frame);
          },
          [this, id, alive] {
            if (!*alive) return;
            carryOut(id, giver_.onPeerGone(id), {});
            peers_.erase(id);
          });
    }
    accept();
  });
}

void Link::onNewFrame(PeerId peer, const Frame& frame) { carryOut(peer, giver_.onFrame(peer, frame), frame); }

void Link::carryOut(PeerId peer, Giver::Step step, const Frame& frame) {
  const auto it = peers_.find(peer);
  if (it == peers_.end()) return;
  const Shared channel = it->second;
  switch (step) {
    case Giver::Step::None:
      return;
    case Giver::Step::SendState:
      return sendState(*channel);
    case Giver::Step::Dismiss:
      channel->close();
      giver_.onPeerGone(peer);
      peers_.erase(peer);
      return;
    case Giver::Step::TakeBack:
      holder_.log("the process that took over has gone: serving again");
      look_.cancel();
      holder_.takeBack();
      return listen();
    case Giver::Step::Pass:
      holder_.told(frame);
      for (const auto& [id, other] : peers_) {
        if (id != peer && giver_.informed(id)) other->send(frame);
      }
      return;
    case Giver::Step::Give:
      break;
  }
  holder_.log("another process takes over: handing clients on");
  listener_.reset();  // the path is the other's
  given_at_ = std::chrono::steady_clock::now();
  Successor successor;
  if (frame.payload == kUnderstandsTried) {
    successor.tell = [channel](const std::vector<admission::Tried>& tried) {
      for (std::string& text : triedToTexts(tried)) channel->send({Type::Tried, std::move(text)});
    };
  }
  successor.give = [channel](int descriptor) { return channel->send({Type::Client, {}}, descriptor); };
  successor.waiting = [channel] { return channel->open() ? channel->waiting() : 0; };
  holder_.give(std::move(successor));
  look();
}

void Link::sendState(Channel& to) {
  const std::string text = toText(holder_.state());
  for (std::size_t at = 0; at < text.size(); at += kMostPayload)
    to.send({Type::StatePart, text.substr(at, kMostPayload)});
  to.send({Type::StateEnd, std::to_string(text.size())});
}

void Link::look() {
  const auto successor = giver_.successor();
  if (!successor) return;
  if (holder_.finished() && std::chrono::steady_clock::now() - given_at_ >= limits_.stay)
    return holder_.leave();
  if (const std::size_t held = holder_.descriptorsHeld(); held != last_held_) {
    last_held_ = held;
    peers_.at(*successor)->send({Type::Holds, std::to_string(held)});
  }
  look_.expires_after(limits_.look);
  look_.async_wait([this, alive = alive_](error_code ec) {
    if (!ec && *alive) look();
  });
}

void Link::tell(const Frame& call) {
  if (old_ && taker_.settled()) old_->send(call);
  for (const auto& [id, peer] : peers_) {
    if (giver_.informed(id)) peer->send(call);
  }
}

}  // namespace client_proxy::handover
