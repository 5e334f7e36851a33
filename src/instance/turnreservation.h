#pragma once

#include "instance/homeservice.h"
#include "serving/admission.h"
#include "serving/requestmetadata.h"

#include <tl/expected.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace flamingo
{

/// What a turn holds at its program's home, from the reservation of its budget to the report of its end.
class TurnReservation
{
public:
    explicit TurnReservation(HomeClient &homeClient);

    /// Sets where the session's prompt is cached. The home gets it with the turn's end.
    void setCachedPrefix(CachedPrefix prefix);

    /// Where the session's prompt is cached, as far as the home knows.
    const std::optional<CachedPrefix> &cachedPrefix() const;

    /// Whether a turn with this metadata asks its home at all: it has a budget, or continues another turn.
    static bool isNeeded(const RequestMetadata &metadata, bool isStateful);

    /// Asks the home for the turn's budget and history. The history is empty for a turn that continues no other. The handler is called
    /// once, possibly before this returns; the caller keeps this object alive until then.
    void begin(const AdmittedRequest &admitted, const RequestMetadata &metadata, std::function<void(tl::expected<TurnChain, Refusal>)> onReserved);

    /// Reports the end of the turn to the home, once; without effect if there is no reservation.
    void end(Tokens usedTokens, TurnRecordPtr turnRecord);

private:
    tl::expected<TurnChain, Refusal> evaluate(const RequestMetadata &metadata, BeginTurnResponse response);

    HomeClient &m_homeClient;
    ProgramId m_program;
    std::optional<SessionId> m_session;
    std::optional<InstanceId> m_home; ///< Set while there is a reservation.
    Tokens m_reservedTokens;
    std::optional<CachedPrefix> m_cachedPrefix;
};

} // namespace flamingo
