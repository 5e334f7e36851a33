#pragma once

#include "persistence/storedid.h"
#include "platform/platformstore.h"
#include "serving/turnrecord.h"

#include <functional>
#include <map>
#include <optional>

namespace flamingo
{

/// The last renewal of a conversation, whose earlier turns are needed by those that have continued it since then. Whether there
/// was another one is told by its revision, since the clocks of the writers may differ.
struct ConversationRenewal {
    platform::Revision revision = 0;
    Milliseconds retention{0}; ///< Of the turn that renewed it.
};

using ConversationRenewals = std::map<StoredId, ConversationRenewal>;

/// The write that renews the conversation of a turn.
platform::KeyWrite renewalWrite(const TurnRecord &turn);

/// Reads the last renewals of all conversations; the handler gets nothing if they can't be read.
void readRenewals(platform::PlatformStore &store, std::function<void(std::optional<ConversationRenewals> renewals)> onRead);

} // namespace flamingo
