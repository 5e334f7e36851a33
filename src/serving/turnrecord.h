#pragma once

#include "serving/requestmetadata.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace flamingo
{

struct TurnChain;

/// A turn whose response was completed, as it is stored. Turns are immutable.
struct TurnRecord {
    RequestId id;
    std::vector<RequestId> ancestors; ///< The turns that it continues from, the oldest first.
    std::string input; ///< What the caller sent.
    std::string output; ///< The data of the response's events, a line feed after each.
    Milliseconds retention{0};
    /// Time from the conversation's last renewal to the end of this turn, as far as the turn's instance knows; zero when this
    /// turn is the first one or renews the conversation.
    Milliseconds sinceRenewal{0};
    /// Storing this turn also renews the conversation, so that its earlier turns are kept on.
    bool renewsConversation = false;
    std::optional<WorkspaceId> workspace; ///< That the turn belongs to. Without one it belongs to none, as do records of earlier versions.

    /// The first turn of the conversation, which all its turns have in common.
    RequestId conversation() const;

    /// Makes this turn, whose retention is set, continue from a history that was loaded some time ago.
    void continueFrom(const TurnChain &history, Milliseconds sinceLoaded);

    std::string encode() const;
    static std::optional<TurnRecord> decode(const RequestId &id, const std::string &bytes);
};

using TurnRecordPtr = std::shared_ptr<const TurnRecord>;

} // namespace flamingo
