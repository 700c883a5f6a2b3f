// The shared configuration on the proxy's disk: the published text, and behind it a comment with what it is.
#pragma once

#include <string>
#include <string_view>

#include "distribution/types.h"
#include "subscription/subscription.h"

namespace client_proxy::subscription {

/// The file's content for a change:
///
///     TEXT
///     # version 42 digest 0123456789abcdef0123456789abcdef by ana
std::string formatSharedFile(const distribution::Change& change);

/// What the content says is in force. Without such a comment: version 0, of the whole content. Where the text
/// before it has another digest, somebody has edited it: InForce::as_published is false.
InForce parseSharedFile(std::string_view content);

/// Replaces the file as a whole: a temporary file beside it, fsync, rename, fsync of the folder. A link stays
/// one. Returns what went wrong, with the path; empty: nothing. Where something did, the old content is
/// there, or the new one without certainty that it outlives a power cut.
std::string replaceSharedFile(const std::string& path, std::string_view content);

}  // namespace client_proxy::subscription
