#include "instance/witnessclient.h"

#include "core/log.h"
#include "serving/provisionalgrantpolicy.h"
#include "serving/witnessmessages.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace flamingo
{

namespace
{
/// A turn may wait for the witness, so another one is chosen soon.
constexpr Milliseconds ResponseTimeout{150};
constexpr Milliseconds AvoidedTime{5000};
constexpr int MaxTries = 2;
constexpr std::size_t MaxNotesPerRequest = 64;
/// Longer than any holder keeps the program.
constexpr Milliseconds NoteLifetime = 2 * ProgramIdleTimeout;
} // namespace

WitnessClient::WitnessClient(asio::io_context &context, MemberDirectory &members, ConnectionPool &peerConnections, IncarnationId self, Metrics &metrics)
    : m_context(context)
    , m_members(members)
    , m_peerConnections(peerConnections)
    , m_self(std::move(self))
    , m_metrics(metrics)
{
}

std::optional<IncarnationId> WitnessClient::choose(const ProgramId &program)
{
    const Instant now = std::chrono::steady_clock::now();
    std::optional<IncarnationId> inOwnDomain;
    for (const InstanceId &id : m_members.rankedHomes(program, now)) {
        const MemberRecord *member = m_members.find(id);
        if (id == m_members.self() || !member || member->incarnation.value().empty()) {
            continue;
        }
        const auto it = m_witnesses.find(member->incarnation);
        if (it != m_witnesses.end() && now < it->second.avoidedUntil) {
            continue;
        }
        if (member->domain != m_members.ownDomain()) {
            return member->incarnation;
        }
        if (!inOwnDomain) {
            inOwnDomain = member->incarnation;
        }
    }
    return inOwnDomain;
}

void WitnessClient::note(const IncarnationId &witness, const SpendLimit &limit, std::function<void(NoteResult)> onResult)
{
    m_witnesses[witness].waiting.push_back({limit, std::move(onResult)});
    sendNotes(witness);
}

void WitnessClient::sendNotes(const IncarnationId &id)
{
    Witness &witness = m_witnesses[id];
    if (witness.isSending || witness.waiting.empty()) {
        return;
    }
    const auto end = witness.waiting.begin() + static_cast<std::ptrdiff_t>(std::min(MaxNotesPerRequest, witness.waiting.size()));
    std::vector<PendingNote> batch(std::make_move_iterator(witness.waiting.begin()), std::make_move_iterator(end));
    witness.waiting.erase(witness.waiting.begin(), end);
    const MemberRecord *member = m_members.findIncarnation(id);
    if (!member) {
        onNotesAnswered(id, batch, std::nullopt);
        sendNotes(id);
        return;
    }
    witness.isSending = true;
    NoteLimitsRequest request{id, {}};
    for (const PendingNote &it : batch) {
        request.limits.push_back(it.limit);
    }
    m_metrics.add("flamingo_witness_requests_total", "kind=\"note\"");
    post(*member, NotePath, request.encode(), [this, id, batch = std::move(batch)](const std::optional<std::string> &body) {
        m_witnesses[id].isSending = false;
        onNotesAnswered(id, batch, body);
        sendNotes(id);
    });
}

void WitnessClient::onNotesAnswered(const IncarnationId &id, const std::vector<PendingNote> &sent, const std::optional<std::string> &body)
{
    const auto response = body ? NoteLimitsResponse::decode(*body) : std::nullopt;
    if (!response) {
        m_witnesses[id].avoidedUntil = std::chrono::steady_clock::now() + AvoidedTime;
        m_metrics.add("flamingo_witness_failures_total");
        logChange("witness-unreachable", "witness={} limits={}", id.value(), sent.size());
    }
    for (std::size_t n = 0; n < sent.size(); ++n) {
        const bool isNoted = response && n < response->areNoted.size() && response->areNoted[n];
        sent[n].onResult(!response ? NoteResult::Unreachable : isNoted ? NoteResult::Noted : NoteResult::Refused);
    }
}

void WitnessClient::fence(const IncarnationId &witness,
                          const ProgramId &program,
                          const IncarnationId &holder,
                          WitnessTerm term,
                          std::function<void(std::optional<FencedLimit>)> onResult)
{
    if (witness == m_self) {
        onResult(m_book.fence(program, holder, term, std::chrono::steady_clock::now()));
        return;
    }
    const MemberRecord *member = m_members.findIncarnation(witness);
    if (!member) {
        onResult(std::nullopt);
        return;
    }
    m_metrics.add("flamingo_witness_requests_total", "kind=\"fence\"");
    post(*member, FencePath, FenceRequest{witness, program, holder, term}.encode(), [onResult = std::move(onResult)](const std::optional<std::string> &body) {
        const auto response = body ? FenceResponse::decode(*body) : std::nullopt;
        onResult(response ? response->limit : std::nullopt);
    });
}

std::optional<std::string> WitnessClient::answerNotes(const std::string &body)
{
    const auto request = NoteLimitsRequest::decode(body);
    if (!request || request->witness != m_self) {
        return std::nullopt;
    }
    NoteLimitsResponse response;
    for (const SpendLimit &limit : request->limits) {
        response.areNoted.push_back(m_book.note(limit, std::chrono::steady_clock::now()) == WitnessBook::Result::Noted);
    }
    return response.encode();
}

std::optional<std::string> WitnessClient::answerFence(const std::string &body)
{
    const auto request = FenceRequest::decode(body);
    if (!request || request->witness != m_self) {
        return std::nullopt;
    }
    return FenceResponse{m_book.fence(request->program, request->holder, request->term, std::chrono::steady_clock::now())}.encode();
}

void WitnessClient::removeIdle(Instant now)
{
    m_book.removeIdle(NoteLifetime, now);
    m_metrics.setGauge("flamingo_witness_notes", {}, static_cast<double>(m_book.size()));
    for (auto it = m_witnesses.begin(); it != m_witnesses.end();) {
        const Witness &witness = it->second;
        const bool isUnused = !witness.isSending && witness.waiting.empty() && now >= witness.avoidedUntil;
        it = isUnused ? m_witnesses.erase(it) : std::next(it);
    }
}

void WitnessClient::post(const MemberRecord &member, const char *path, const std::string &body, std::function<void(std::optional<std::string>)> onResponse)
{
    InternalRequest call;
    call.address = member.peerAddress;
    call.method = "POST";
    call.target = path;
    call.body = body;
    call.connectTimeout = ResponseTimeout;
    call.responseTimeout = ResponseTimeout;
    trySend(call, MaxTries - 1, std::move(onResponse));
}

// A kept connection may have been reset. Both kinds of requests may be repeated.
void WitnessClient::trySend(const InternalRequest &call, int triesLeft, std::function<void(std::optional<std::string>)> onResponse)
{
    const Instant sentAt = std::chrono::steady_clock::now();
    const auto onSent = [this, call, triesLeft, sentAt, onResponse = std::move(onResponse)](std::optional<InternalResponse> response) {
        constexpr int StatusOk = 200;
        const bool wasReset = !response && std::chrono::steady_clock::now() - sentAt < ResponseTimeout;
        if (wasReset && triesLeft > 0) {
            trySend(call, triesLeft - 1, onResponse);
        } else {
            onResponse(response && response->status == StatusOk ? std::optional<std::string>(std::move(response->body)) : std::nullopt);
        }
    };
    sendInternalRequest(m_context, m_peerConnections, call, onSent);
}

} // namespace flamingo
