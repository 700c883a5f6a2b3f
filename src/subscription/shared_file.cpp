#include "subscription/shared_file.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <cstdlib>
#include <cstring>
#include <memory>

#include "distribution/digest.h"

namespace client_proxy::subscription {
namespace {

constexpr std::string_view kVersionPrefix = "# version ", kDigestPrefix = " digest ", kAuthorPrefix = " by ";

// Version and digest of the comment at the end of the file.
struct VersionComment {
  distribution::Version version = 0;
  std::string digest;
};

// Returns nullopt if the line is not a version comment.
std::optional<VersionComment> parseVersionComment(std::string_view line) {
  if (line.substr(0, kVersionPrefix.size()) != kVersionPrefix) return std::nullopt;
  line.remove_prefix(kVersionPrefix.size());
  VersionComment comment;
  const auto number = std::from_chars(line.data(), line.data() + line.size(), comment.version);
  if (number.ec != std::errc{}) return std::nullopt;
  line.remove_prefix(static_cast<std::size_t>(number.ptr - line.data()));
  if (line.substr(0, kDigestPrefix.size()) != kDigestPrefix) return std::nullopt;
  line.remove_prefix(kDigestPrefix.size());
  comment.digest = std::string(line.substr(0, line.find(' ')));
  if (!distribution::isHexDigest(comment.digest)) return std::nullopt;
  return comment;
}

// Owns a file descriptor.
class File {
 public:
  explicit File(int descriptor) : descriptor_(descriptor) {}
  ~File() {
    if (descriptor_ >= 0) ::close(descriptor_);
  }
  File(const File&) = delete;
  File& operator=(const File&) = delete;
  bool isOpen() const { return descriptor_ >= 0; }
  int descriptor() const { return descriptor_; }
  bool write(std::string_view content) const {
    while (!content.empty()) {
      const ssize_t written = ::write(descriptor_, content.data(), content.size());
      if (written < 0 && errno == EINTR) continue;
      if (written <= 0) return false;
      content.remove_prefix(static_cast<std::size_t>(written));
    }
    return true;
  }
  bool sync() const { return ::fsync(descriptor_) == 0; }

 private:
  int descriptor_;
};

// Resolves symbolic links; returns the path itself if the file does not exist yet.
std::string resolveLinks(const std::string& path) {
  const std::unique_ptr<char, decltype(&std::free)> real(::realpath(path.c_str(), nullptr), &std::free);
  return real ? std::string(real.get()) : path;
}

std::string folderOf(const std::string& path) {
  const std::size_t slash = path.rfind('/');
  if (slash == std::string::npos) return ".";
  return slash == 0 ? "/" : path.substr(0, slash);
}

// Permissions of an existing file, or the default for a new one.
mode_t modeOf(const std::string& path) {
  constexpr mode_t kDefaultMode = 0644, kPermissions = 07777;
  struct stat status {};
  return ::stat(path.c_str(), &status) == 0 ? status.st_mode & kPermissions : kDefaultMode;
}

// Writes `temporary` and renames it to `target`. On failure returns false with the error in errno.
bool replaceFile(const std::string& target, const std::string& temporary, std::string_view content) {
  {
    const File file(::open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, modeOf(target)));
    if (!file.isOpen() || !file.write(content) || !file.sync()) return false;
  }
  if (::rename(temporary.c_str(), target.c_str()) != 0) return false;
  const File folder(::open(folderOf(target).c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  return folder.isOpen() && folder.sync();
}

}  // namespace

std::string formatSharedFile(const distribution::Change& change) {
  std::string author = change.author;
  std::replace_if(
      author.begin(), author.end(), [](char c) { return static_cast<unsigned char>(c) < ' '; }, '?');
  std::string content = change.text;
  if (!content.empty() && content.back() != '\n') content += '\n';
  content += kVersionPrefix;
  content += std::to_string(change.version);
  content += kDigestPrefix;
  content += change.digest;
  content += kAuthorPrefix;
  content += author + "\n";
  return content;
}

InForce parseSharedFile(std::string_view content) {
  std::string_view lines = content;
  if (!lines.empty() && lines.back() == '\n') lines.remove_suffix(1);
  const std::size_t last = lines.rfind('\n') + 1;  // 0 if there is only one line
  const std::optional<VersionComment> comment = parseVersionComment(lines.substr(last));
  InForce in_force;
  if (!comment) {
    in_force.text = std::string(content);
    in_force.digest = distribution::digestOf(in_force.text);
    return in_force;
  }
  in_force.version = comment->version;
  // formatSharedFile() adds a line break if the published text has none at its end, so try without and with
  // it.
  for (const std::size_t cut : {std::size_t{1}, std::size_t{0}}) {
    in_force.text = std::string(lines.substr(0, last - std::min(cut, last)));
    in_force.digest = distribution::digestOf(in_force.text);
    if (in_force.digest == comment->digest) return in_force;
  }
  in_force.as_published = false;
  return in_force;
}

std::string replaceSharedFile(const std::string& path, std::string_view content) {
  const std::string target = resolveLinks(path), temporary = target + ".new";
  if (replaceFile(target, temporary, content)) return {};
  const std::string error = std::strerror(errno);
  ::unlink(temporary.c_str());
  return path + ": can't be written: " + error;
}

}  // namespace client_proxy::subscription
