#include "instance/marksurveyor.h"

#include "core/log.h"
#include "http/internalrequest.h"
#include "serving/archivemessages.h"
#include "serving/livenesstracker.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace flamingo
{

namespace
{
constexpr Milliseconds FirstRetryDelay{250};
constexpr Milliseconds MaxRetryDelay{8000};
/// Within this time the member list usually shows a fence.
constexpr Milliseconds ListDelay{5000};
} // namespace

MarkSurveyor::MarkSurveyor(asio::io_context &context,
                           platform::PlatformStore &store,
                           const MemberDirectory &members,
                           ConnectionPool &archiveConnections,
                           GrantMarkStore &marks,
                           IncarnationId self,
                           Hooks hooks)
    : m_context(context)
    , m_store(store)
    , m_members(members)
    , m_archiveConnections(archiveConnections)
    , m_marks(marks)
    , m_hooks(std::move(hooks))
    , m_self(std::move(self))
    , m_retryDelay(FirstRetryDelay)
{
}

void MarkSurveyor::lookUp(const std::vector<MemberRecord> &silent, Instant now)
{
    const auto revision = m_hooks.ownRevision();
    const LookupPtr lookup = revision ? begin(silent, now) : nullptr;
    if (lookup) {
        fenceArchives(lookup, *revision);
    }
}

void MarkSurveyor::fence(const std::vector<MemberRecord> &silent, Instant now)
{
    if (const LookupPtr lookup = begin(silent, now)) {
        readEntry(lookup);
    }
}

bool MarkSurveyor::isOpen(const MemberRecord &member, Instant now) const
{
    const auto withGrants = m_withGrants.find(member.id);
    if (withGrants != m_withGrants.end() && withGrants->second == member.incarnation) {
        return false;
    }
    const auto finished = m_finishedAt.find(member.id);
    return finished == m_finishedAt.end() || now - finished->second >= ListDelay;
}

MarkSurveyor::LookupPtr MarkSurveyor::begin(const std::vector<MemberRecord> &silent, Instant now)
{
    const auto it = std::find_if(silent.begin(), silent.end(), [&](const MemberRecord &member) { return isOpen(member, now); });
    if (m_isLookingUp || now < m_nextLookupAt || it == silent.end()) {
        return nullptr;
    }
    m_isLookingUp = true;
    return std::make_shared<Lookup>(Lookup{*it, now, {}, 0, false});
}

void MarkSurveyor::readEntry(const LookupPtr &lookup)
{
    m_store.read(MemberDirectory::KeyPrefix + lookup->member.id.value(), [this, lookup](const tl::expected<platform::StoreItem, platform::StoreFailure> &item) {
        const auto member = item && item->revision != 0 ? MemberRecord::decode(lookup->member.id, item->data) : std::nullopt;
        if (!member || member->incarnation != lookup->member.incarnation) {
            fail(*lookup);
            return;
        }
        lookup->member = *member;
        if (member->grantFence.value().empty()) {
            writeFence(lookup, item->revision);
        } else {
            fenceArchives(lookup, MemberListRevision(item->revision));
        }
    });
}

void MarkSurveyor::writeFence(const LookupPtr &lookup, platform::Revision entryRevision)
{
    lookup->member.grantFence = GrantFenceId(fmt::format("{}/{}", m_self.value(), ++m_lastFence));
    const std::string key = MemberDirectory::KeyPrefix + lookup->member.id.value();
    platform::StoreTransaction transaction;
    transaction.writes.push_back({key, lookup->member.encode()});
    transaction.preconditions.push_back({key, entryRevision});
    m_store.commit(transaction, [this, lookup](const tl::expected<platform::TransactionResult, platform::StoreFailure> &result) {
        if (result && result->isCommitted) {
            fenceArchives(lookup, MemberListRevision(result->revision));
        } else {
            fail(*lookup); // The next try finds a fence whose response was lost.
        }
    });
}

bool MarkSurveyor::isFenced(const MemberRecord &archive, MemberListRevision revision) const
{
    const auto it = m_fencedArchives.find(archive.id);
    return it != m_fencedArchives.end() && it->second.incarnation == archive.incarnation && it->second.revision >= revision;
}

// An archive that registers later refuses such marks by itself.
void MarkSurveyor::fenceArchives(const LookupPtr &lookup, MemberListRevision revision)
{
    std::vector<MemberRecord> open = m_members.archives();
    open.erase(std::remove_if(open.begin(), open.end(), [&](const MemberRecord &it) { return isFenced(it, revision); }), open.end());
    if (open.empty()) {
        readHistory(lookup);
        return;
    }
    lookup->pendingFences = open.size();
    for (const MemberRecord &archive : open) {
        InternalRequest call;
        call.address = archive.peerAddress;
        call.method = "POST";
        call.target = ArchiveFencePath;
        call.body = ArchiveFenceRequest{revision}.encode();
        sendInternalRequest(
            m_context, m_archiveConnections, std::move(call), [this, lookup, archive, revision](const std::optional<InternalResponse> &response) {
                constexpr int StatusOk = 200;
                const bool isFenced = response && response->status == StatusOk;
                onArchiveAnswered(lookup, archive, isFenced ? std::make_optional(revision) : std::nullopt);
            });
    }
}

void MarkSurveyor::onArchiveAnswered(const LookupPtr &lookup, const MemberRecord &archive, std::optional<MemberListRevision> fencedTo)
{
    if (fencedTo) {
        m_fencedArchives[archive.id] = {archive.incarnation, *fencedTo};
    } else {
        lookup->hasFailed = true;
    }
    if (--lookup->pendingFences > 0) {
        return;
    }
    if (lookup->hasFailed) {
        fail(*lookup);
    } else {
        readHistory(lookup);
    }
}

void MarkSurveyor::readHistory(const LookupPtr &lookup)
{
    const std::string key = LivenessTracker::HeartbeatPrefix + lookup->member.id.value();
    m_store.read(key, [this, lookup](const tl::expected<platform::StoreItem, platform::StoreFailure> &item) {
        if (!item) {
            fail(*lookup);
            return;
        }
        const auto history = item->revision == 0 ? std::nullopt : GrantHistory::decode(item->data);
        if (!history || !history->isComplete) {
            finish(*lookup, true);
            return;
        }
        lookup->entries = history->earlier;
        lookup->entries.push_back(history->own);
        loadNextMark(lookup);
    });
}

void MarkSurveyor::loadNextMark(const LookupPtr &lookup)
{
    if (lookup->entries.empty()) {
        finish(*lookup, false);
    } else if (!lookup->entries.back().marksGrants) {
        finish(*lookup, true);
    } else {
        m_marks.loadMark(lookup->entries.back().markId(), [this, lookup](const TurnLookup &it) { onMarkLoaded(lookup, it.status); });
    }
}

void MarkSurveyor::onMarkLoaded(const LookupPtr &lookup, TurnLookup::Status status)
{
    if (status == TurnLookup::Status::Unknown) {
        fail(*lookup);
    } else if (status == TurnLookup::Status::Found) {
        finish(*lookup, true);
    } else {
        lookup->entries.pop_back();
        loadNextMark(lookup);
    }
}

void MarkSurveyor::fail(const Lookup &lookup)
{
    m_isLookingUp = false;
    m_nextLookupAt = lookup.startedAt + m_retryDelay;
    m_retryDelay = std::min(2 * m_retryDelay, MaxRetryDelay);
    logChange("marks-not-surveyed", "instance={}", lookup.member.id.value());
}

void MarkSurveyor::finish(const Lookup &lookup, bool mayHaveGrants)
{
    m_isLookingUp = false;
    m_retryDelay = FirstRetryDelay;
    m_finishedAt[lookup.member.id] = lookup.startedAt;
    logChange("marks-surveyed", "instance={} fence={} may_have_grants={}", lookup.member.id.value(), lookup.member.grantFence.value(), mayHaveGrants);
    if (mayHaveGrants) {
        m_withGrants[lookup.member.id] = lookup.member.incarnation;
    } else {
        m_hooks.onNoGrants(lookup.member.id, lookup.member.grantFence);
    }
}

} // namespace flamingo
