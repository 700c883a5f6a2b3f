// The shared configuration in a running proxy: its subscription, and what is done with each change. A change
// is checked as a whole with the operator file that includes it, written to disk, and put in force as SIGHUP
// does.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <string>

#include "net/clock.h"
#include "net/log.h"
#include "net/subscription_settings.h"
#include "subscription/file_writer.h"
#include "subscription/shared_file.h"
#include "subscription/subscription_task.h"

namespace client_proxy {

class SharedConfiguration {
 public:
  // What the daemon does for it.
  struct Daemon {
    // Reads the operator file as if the shared file had this content. Throws what is wrong.
    std::function<void(const std::string& content)> check;
    // Reads all files as they are and puts them in force. Throws where nothing has changed.
    std::function<void()> take;
    std::function<bool()> restart_needed;
    // The lines that say what is wrong.
    std::function<std::vector<std::string>(const std::exception&)> lines_of;
  };

  // `member`: the number of this proxy.
  SharedConfiguration(boost::asio::io_context& io, const Clock& clock, Log& log,
                      SubscriptionSettings settings, std::uint32_t member, Daemon daemon);

  // Begins from what is on disk, which is put in force first if another process has written it meanwhile.
  void start();
  // Closes the watch; what is being written is on disk when this returns.
  void stop();
  // All files were read again and are in force.
  void reread();
  std::string figures() const { return task_.figures(); }
  std::string page() const { return task_.page(); }

 private:
  void apply(const distribution::Change& change, const subscription::SubscriptionTask::Done& done);
  void takeWritten(const std::string& before, const subscription::SubscriptionTask::Done& done);
  subscription::ApplyResult refused(const std::exception& why) const;
  std::string content() const;
  subscription::InForce inForce() const;

  Log& log_;
  const SubscriptionSettings settings_;
  const Daemon daemon_;
  std::string content_at_start_;  // as the configuration in force was read
  subscription::FileWriter writer_;
  subscription::SubscriptionTask task_;
};

}  // namespace client_proxy
