// The JSON form of what replicas, subscribers and commands say to each other.
//
// format...() throws CodecError where a string is not UTF-8; parse...() throws CodecError that names the key.
// Sizes are bounded on reading (distribution/types.h). Keys that are not known are passed over.
#pragma once

#include <string>
#include <string_view>

#include "distribution/json_object.h"
#include "distribution/types.h"

namespace client_proxy::distribution {

/// With its text, as GET /v1/changes/N answers and as replicas send it to each other.
nlohmann::json toJson(const Change& change);
/// Also holds the text against the digest.
Change changeFromJson(const JsonObject& object);
std::string formatChange(const Change& change);
Change parseChange(std::string_view text);

/// The change with its whole text, for a subscriber.
ChangeNotice noticeOf(const Change& change);
/// The change as a delta to `base`, or with its whole text where that is not longer.
ChangeNotice noticeOf(const Change& change, const Change& base);

/// One line of a watch, with its line break.
std::string formatWatchLine(const WatchLine& line);
/// Without its line break. A whole text is held against its digest.
WatchLine parseWatchLine(std::string_view line);

std::string formatAcknowledgement(const Acknowledgement& acknowledgement);
Acknowledgement parseAcknowledgement(std::string_view text);

std::string formatPublishRequest(const PublishRequest& request);
PublishRequest parsePublishRequest(std::string_view text);
std::string formatPublished(const Published& published);
Published parsePublished(std::string_view text);
std::string formatConflict(const Conflict& conflict);
Conflict parseConflict(std::string_view text);
std::string formatCallError(const CallError& error);
CallError parseCallError(std::string_view text);

std::string formatStatus(const Status& status);
Status parseStatus(std::string_view text);

}  // namespace client_proxy::distribution
