#include "serving/grantmarks.h"

#include "core/log.h"
#include "serving/provisionalgrantpolicy.h"

#include <algorithm>
#include <utility>

namespace flamingo
{

namespace
{
/// No grant is based on an older mark; the store keeps it for twice as long.
constexpr Milliseconds MarkRetention{3600000};
/// A period ends no sooner after its mark was stored, so that a store which fails now and then doesn't get a heartbeat each time.
constexpr Milliseconds MinPeriodAge{15000};
constexpr Milliseconds FirstLookupDelay{250};
constexpr Milliseconds MaxLookupDelay{8000};
} // namespace

GrantMarks::GrantMarks(const IncarnationId &self, GrantMarkStore &markStore, Hooks hooks, Instant startedAt)
    : m_markStore(markStore)
    , m_hooks(std::move(hooks))
    , m_startedAt(startedAt)
    , m_lookupDelay(FirstLookupDelay)
{
    m_history.own.incarnation = self;
}

void GrantMarks::setHistory(GrantHistory history, Instant lookUpAt)
{
    m_history = std::move(history);
    m_markedAt.reset();
    m_unmarkedFrom.reset();
    m_nextLookupAt = lookUpAt;
}

const GrantHistory &GrantMarks::history() const
{
    return m_history;
}

bool GrantMarks::mayGrant(Instant now) const
{
    const bool mayGrantUnmarked = m_unmarkedFrom && m_hooks.memberListRevision() >= *m_unmarkedFrom;
    return mayGrantUnmarked || (m_markedAt && now - *m_markedAt < MarkRetention);
}

void GrantMarks::storeMark(Instant now, std::function<void(bool)> onStored)
{
    if (mayGrant(now)) {
        onStored(true);
        return;
    }
    m_waiting.push_back(std::move(onStored));
    if (m_waiting.size() > 1) {
        return;
    }
    TurnRecord mark;
    mark.id = m_history.own.markId();
    mark.retention = MarkRetention;
    m_markStore.saveMark(
        std::make_shared<const TurnRecord>(std::move(mark)), m_hooks.memberListRevision(), [this, now](bool isStored) { onMarkStored(isStored, now); });
}

void GrantMarks::onMarkStored(bool isStored, Instant now)
{
    logChange("grant-mark-stored", "period={} stored={}", m_history.own.period.value(), isStored);
    if (isStored) {
        m_markedAt = now;
    }
    for (const auto &onStored : std::exchange(m_waiting, {})) {
        onStored(isStored);
    }
}

void GrantMarks::onTimer(bool hasUnrecordedGrants, bool isStoreUnreachable, Instant now)
{
    if (now - m_startedAt >= ProgramIdleTimeout) {
        // Their programs have ended.
        m_history.earlier.clear();
        m_history.isComplete = true;
    }
    if (isStoreUnreachable) {
        return;
    }
    lookUpEarlier(now);
    const bool mayEndPeriod = !hasUnrecordedGrants && m_waiting.empty();
    const bool isMarkDone = m_markedAt && now - *m_markedAt >= MinPeriodAge;
    if (m_history.own.marksGrants && !m_markedAt && m_waiting.empty() && hasTooFewArchives(now)) {
        m_history.own.marksGrants = false;
        m_isHistoryWritten = false;
    } else if (mayEndPeriod && (isMarkDone || (!m_history.own.marksGrants && !m_hooks.lacksArchives()))) {
        endPeriod();
    }
    if (!m_isHistoryWritten) {
        writeHistory();
    }
}

// Archives may register a little later than the first instances.
bool GrantMarks::hasTooFewArchives(Instant now) const
{
    return now - m_startedAt >= ProvisionalGrantPolicy::DiscoveryTime && m_hooks.lacksArchives();
}

// As long as the store may have the ended period, its mark is found there, so that the next incarnation excludes nothing.
void GrantMarks::endPeriod()
{
    m_history.own.period = GrantPeriod(m_history.own.period.value() + 1);
    m_history.own.marksGrants = true;
    m_unmarkedFrom.reset();
    m_markedAt.reset();
    m_isHistoryWritten = false;
}

void GrantMarks::writeHistory()
{
    if (std::exchange(m_isWriting, true)) {
        return;
    }
    m_hooks.writeHeartbeat([this, written = m_history.own](std::optional<MemberListRevision> revision) { onHistoryWritten(written, revision); });
}

// An instance that was added reads this heartbeat to find out whether it has to look for a mark. If it has read the one before, its own
// entry is older than the revision of this one, and so on the list that is read now.
void GrantMarks::onHistoryWritten(const GrantHistory::Entry &written, std::optional<MemberListRevision> revision)
{
    m_isWriting = false;
    const bool isPresent = written.period == m_history.own.period && written.marksGrants == m_history.own.marksGrants;
    m_isHistoryWritten = revision && isPresent;
    m_unmarkedFrom.reset();
    if (m_isHistoryWritten && !m_history.own.marksGrants) {
        m_unmarkedFrom = revision;
        m_hooks.reloadMembers();
    }
}

void GrantMarks::lookUpEarlier(Instant now)
{
    const std::vector<GrantHistory::Entry> &earlier = m_history.earlier;
    if (earlier.empty() || !m_history.isComplete || m_isLookingUp || m_mayHaveEarlierGrants || now < m_nextLookupAt) {
        return;
    }
    const GrantHistory::Entry entry = earlier.front();
    if (!entry.marksGrants) {
        m_mayHaveEarlierGrants = true;
        return;
    }
    m_isLookingUp = true;
    m_markStore.loadMark(entry.markId(), [this, entry, now](const TurnLookup &lookup) { onLookedUp(entry, lookup.status, now); });
}

void GrantMarks::onLookedUp(const GrantHistory::Entry &entry, TurnLookup::Status status, Instant now)
{
    m_isLookingUp = false;
    if (status == TurnLookup::Status::Unknown) {
        m_nextLookupAt = now + m_lookupDelay;
        m_lookupDelay = std::min(2 * m_lookupDelay, MaxLookupDelay);
        return;
    }
    logChange("earlier-grants", "incarnation={} period={} marked={}", entry.incarnation.value(), entry.period.value(), status == TurnLookup::Status::Found);
    m_mayHaveEarlierGrants = status == TurnLookup::Status::Found;
    if (m_mayHaveEarlierGrants || m_history.earlier.empty()) {
        return;
    }
    m_history.earlier.erase(m_history.earlier.begin());
    if (m_history.earlier.empty()) {
        m_hooks.onEarlierExcluded();
    } else {
        lookUpEarlier(now);
    }
}

} // namespace flamingo
