#pragma once

#include "core/metrics.h"
#include "http/connectionpool.h"
#include "http/internalrequest.h"
#include "serving/memberdirectory.h"
#include "serving/witnessbook.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace flamingo
{

/// The witnesses of this instance's grants, which are other instances, and the notes that it keeps itself as their witness.
class WitnessClient : public WitnessNetwork
{
public:
    static constexpr const char *NotePath = "/witness/note";
    static constexpr const char *FencePath = "/witness/fence";

    WitnessClient(asio::io_context &context, MemberDirectory &members, ConnectionPool &peerConnections, IncarnationId self, Metrics &metrics);

    /// Prefers the next home of the program in another failure domain, else the next one at all.
    std::optional<IncarnationId> choose(const ProgramId &program) override;

    /// Limits for a witness that is yet to answer wait, and are then sent together.
    void note(const IncarnationId &witness, const SpendLimit &limit, std::function<void(NoteResult)> onResult) override;
    void fence(const IncarnationId &witness,
               const ProgramId &program,
               const IncarnationId &holder,
               WitnessTerm term,
               std::function<void(std::optional<FencedLimit>)> onResult) override;

    /// Answers another instance's encoded NoteLimitsRequest. Returns nothing if it can't be decoded or is meant for another incarnation.
    std::optional<std::string> answerNotes(const std::string &body);

    /// The same for a FenceRequest.
    std::optional<std::string> answerFence(const std::string &body);

    /// Forgets old notes.
    void removeIdle(Instant now);

private:
    struct PendingNote {
        SpendLimit limit;
        std::function<void(NoteResult)> onResult;
    };
    struct Witness {
        bool isSending = false;
        std::vector<PendingNote> waiting;
        Instant avoidedUntil{}; ///< After a failed call.
    };

    void sendNotes(const IncarnationId &id);
    void onNotesAnswered(const IncarnationId &id, const std::vector<PendingNote> &sent, const std::optional<std::string> &body);
    void post(const MemberRecord &member, const char *path, const std::string &body, std::function<void(std::optional<std::string>)> onResponse);
    void trySend(const InternalRequest &call, int triesLeft, std::function<void(std::optional<std::string>)> onResponse);

    asio::io_context &m_context;
    MemberDirectory &m_members;
    ConnectionPool &m_peerConnections;
    IncarnationId m_self;
    Metrics &m_metrics;
    WitnessBook m_book;
    std::map<IncarnationId, Witness> m_witnesses;
};

} // namespace flamingo
