// A client's request and its answer, as front, pools and server pass them on.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "net/body_pipe.h"
#include "net/http.h"
#include "net/memory_account.h"

namespace client_proxy {

using ExchangeId = std::uint64_t;  // one request on one client connection; from 1, never used twice

struct ClientRequest {
  RequestHead head;
  std::shared_ptr<const std::string> body;  // of a long one what came first
  std::shared_ptr<BodyPipe> rest;           // of a long one; null: `body` is all
  std::shared_ptr<MemoryShare> memory;      // counts what `head` and `body` hold
  Time received = 0;                        // when its last byte came; of a long one when it became one
};

struct Answer {
  int status = 200;
  std::string body;
  std::string content_type;
  std::optional<Time> retry_after;
  std::shared_ptr<BodyPipe> rest{};  // of a long one; null: `body` is all
};

inline Answer plainAnswer(int status) {
  return {.status = status, .body = {}, .content_type = {}, .retry_after = {}};
}

}  // namespace client_proxy
