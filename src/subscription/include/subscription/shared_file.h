// Reads and writes the shared configuration on the proxy's disk: the published text, followed by a comment
// with its version, digest and author.
#pragma once

#include <string>
#include <string_view>

#include "distribution/types.h"
#include "subscription/subscription.h"

namespace client_proxy::subscription {

/// Returns the file's content for a change:
///
///     TEXT
///     # version 42 digest 0123456789abcdef0123456789abcdef by ana
std::string formatSharedFile(const distribution::Change& change);

/// Parses the file's content. Without a version comment the whole content is the text, with version 0. If the
/// text does not match the digest in the comment, the file was edited locally and InForce::as_published is
/// false.
InForce parseSharedFile(std::string_view content);

/// Replaces the file atomically: writes and fsyncs a temporary file beside it, renames it and fsyncs the
/// folder. Symbolic links are followed and kept, as are the file's permissions. Returns an error message with
/// the path, empty on success. After an error the file has either the old content, or the new content, which
/// then may not survive a power failure.
std::string replaceSharedFile(const std::string& path, std::string_view content);

}  // namespace client_proxy::subscription
