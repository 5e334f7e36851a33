#include "quotasimulation.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace flamingo
{

namespace
{
constexpr Milliseconds ConfigurationLag{1000};
constexpr Milliseconds ListReadPeriod{2000};
} // namespace

QuotaSimulation::QuotaSimulation(unsigned seed, Settings settings)
    : m_settings(settings)
    , m_random(seed)
    , m_now(std::chrono::hours(100))
{
    for (int n = 0; n < m_settings.instances; ++n) {
        Node node;
        node.id = InstanceId(fmt::format("edge-{}", n));
        m_nodes.push_back(std::move(node));
    }
    for (int n = 0; n < m_settings.instances; ++n) {
        start(n);
    }
    // At the first start there is no wait, so faults and demand begin when all have seen all.
    run(2 * (m_settings.maxListLag + ListReadPeriod));
    m_isFirstStart = false;
}

void QuotaSimulation::run(Milliseconds duration)
{
    const Instant end = m_now + duration;
    while (!m_events.empty() && m_events.begin()->first <= end) {
        const auto event = m_events.extract(m_events.begin());
        m_now = std::max(m_now, event.key());
        event.mapped()();
    }
    m_now = end;
}

void QuotaSimulation::at(Instant due, std::function<void()> action)
{
    m_events.emplace(due, std::move(action));
}

// Nothing runs on a node that has ended or was restarted; on a frozen one it runs once that goes on.
void QuotaSimulation::onNode(int node, Instant due, std::function<void()> action)
{
    at(due, [this, node, starts = m_nodes[static_cast<std::size_t>(node)].starts, action = std::move(action)] {
        const Node &it = m_nodes[static_cast<std::size_t>(node)];
        if (!it.isRunning || it.starts != starts) {
            return;
        }
        if (m_now < it.frozenUntil) {
            onNode(node, it.frozenUntil, action);
        } else {
            action();
        }
    });
}

Milliseconds QuotaSimulation::between(Milliseconds from, Milliseconds to)
{
    return Milliseconds(std::uniform_int_distribution<std::int64_t>(from.count(), to.count())(m_random));
}

bool QuotaSimulation::isLost()
{
    return std::bernoulli_distribution(m_settings.lossRate)(m_random);
}

void QuotaSimulation::start(int n)
{
    Node &node = m_nodes[static_cast<std::size_t>(n)];
    if (node.isRunning) {
        return;
    }
    ++node.starts;
    node.isRunning = true;
    node.isDraining = false;
    node.frozenUntil = node.cutUntil = m_now;
    node.incarnation = IncarnationId(fmt::format("{}:{:x}:1", node.id.value(), std::chrono::duration_cast<Milliseconds>(m_now.time_since_epoch()).count()));
    node.leases.reset();
    node.ledger.reset();
    node.members = std::make_unique<MemberDirectory>(node.id, DomainId("d"));
    node.ledger = std::make_unique<QuotaLedger>(
        *node.members,
        node.incarnation,
        m_settings.quota,
        [&node](const WorkspaceId &id) -> std::optional<QuotaLimit> {
            const Workspace &it = node.workspaces[id.value()];
            return QuotaLimit{node.versions[id.value()], it.requestsPerSecond, it.burst};
        },
        m_now);
    if (m_isFirstStart) {
        node.ledger->setFirstStart();
    }
    node.leases = std::make_unique<QuotaLeases>(node.id,
                                                QuotaLeases::Hooks{[&node](const QuotaPartition &partition) -> std::optional<IncarnationId> {
                                                                       const auto home = node.members->listedHome(partition.key());
                                                                       const MemberRecord *member = home ? node.members->find(*home) : nullptr;
                                                                       return member ? std::optional<IncarnationId>(member->incarnation) : std::nullopt;
                                                                   },
                                                                   [this, n](const QuotaLeaseRequest &request, Instant, QuotaLeases::AnswerHandler onAnswer) {
                                                                       askHome(n, request, std::move(onAnswer));
                                                                   }});
    registerMember(n);
    onNode(n, m_now + between(Milliseconds(0), ListReadPeriod), [this, n, starts = node.starts] { readList(n, starts); });
}

void QuotaSimulation::registerMember(int n)
{
    Node &node = m_nodes[static_cast<std::size_t>(n)];
    const MemberRecord self{node.id, DomainId("d"), SocketAddress{"127.0.0.1", 1}, node.incarnation};
    node.isRegistering = true;
    node.ledger->setRegistering(m_now);
    node.members->put(self);
    onNode(n, m_now + between(Milliseconds(1), Milliseconds(50)), [this, n, self] {
        const auto listed = m_list.find(self.id);
        auto entry = QuotaLedger::EarlierEntry::Listed;
        std::optional<QuotaLedger::EarlierRun> earlierRun;
        if (listed == m_list.end()) {
            entry = m_hasBeenListed[self.id] ? QuotaLedger::EarlierEntry::Unlisted : QuotaLedger::EarlierEntry::None;
        } else if (listed->second.isPresumedDead) {
            entry = QuotaLedger::EarlierEntry::Unlisted;
        } else {
            const auto startMs = startTimeMs(listed->second.incarnation).value_or(0);
            earlierRun = {startMs, std::chrono::duration_cast<Milliseconds>(m_now.time_since_epoch()) - Milliseconds(startMs)};
        }
        m_list[self.id] = self;
        m_nodes[static_cast<std::size_t>(n)].listedAt = m_now;
        m_hasBeenListed[self.id] = true;
        onNode(n, m_now + between(Milliseconds(1), Milliseconds(50)), [this, n, entry, earlierRun] {
            m_nodes[static_cast<std::size_t>(n)].isRegistering = false;
            m_nodes[static_cast<std::size_t>(n)].ledger->setRegistered(entry, earlierRun, m_now);
        });
    });
}

// Reads the list as it is now, and applies it later.
void QuotaSimulation::readList(int n, int start)
{
    Node &node = m_nodes[static_cast<std::size_t>(n)];
    if (node.starts != start) {
        return;
    }
    const Milliseconds lag = between(Milliseconds(1), m_settings.maxListLag);
    const bool isCut = m_now < node.cutUntil;
    onNode(n, m_now + lag, [this, n, start, isCut, list = m_list, readAt = m_now] {
        Node &reader = m_nodes[static_cast<std::size_t>(n)];
        if (!isCut) {
            bool isChanged = false;
            for (const MemberRecord &known : reader.members->listedInstances()) {
                const bool isOwnNotYet = known.id == reader.id && (reader.isRegistering || readAt < reader.listedAt);
                if (list.count(known.id) == 0 && !isOwnNotYet) {
                    reader.members->remove(known.id, m_now);
                    isChanged = true;
                }
            }
            for (const auto &[id, member] : list) {
                const MemberRecord *known = reader.members->find(id);
                if (!known || known->incarnation != member.incarnation || known->isPresumedDead != member.isPresumedDead) {
                    reader.members->put(member);
                    isChanged = true;
                }
            }
            if (isChanged) {
                send(reader.ledger->onMembersChanged(m_now));
            }
            reader.ledger->onListConfirmed(readAt, m_now);
            const MemberRecord *own = reader.members->find(reader.id);
            if (!reader.isDraining && !reader.isRegistering && (!own || own->isPresumedDead)) {
                reader.mayEndAt = m_now + QuotaLedger::MaxQuotaListAge + m_settings.quota.span();
                registerMember(n);
            }
        }
        onNode(n, m_now + between(Milliseconds(1), ListReadPeriod), [this, n, start] { readList(n, start); });
    });
}

void QuotaSimulation::crash(int n)
{
    m_nodes[static_cast<std::size_t>(n)].isRunning = false;
}

void QuotaSimulation::stop(int n)
{
    Node &node = m_nodes[static_cast<std::size_t>(n)];
    if (!node.isRunning || node.isDraining || m_now < node.frozenUntil) {
        return;
    }
    node.isDraining = true;
    send(node.ledger->beginDrain(m_now));
    if (std::bernoulli_distribution(0.8)(m_random)) {
        at(m_now + between(Milliseconds(1), Milliseconds(300)), [this, id = node.id, incarnation = node.incarnation] {
            const auto it = m_list.find(id);
            if (it != m_list.end() && it->second.incarnation == incarnation) {
                m_list.erase(it);
            }
        });
    }
    onNode(n, m_now + between(Milliseconds(300), Milliseconds(4000)), [this, n] { crash(n); });
}

void QuotaSimulation::freeze(int n, Milliseconds duration)
{
    m_nodes[static_cast<std::size_t>(n)].frozenUntil = m_now + duration;
}

void QuotaSimulation::cutFromList(int n, Milliseconds duration)
{
    m_nodes[static_cast<std::size_t>(n)].cutUntil = m_now + duration;
}

void QuotaSimulation::presumeDead(int n)
{
    const auto it = m_list.find(m_nodes[static_cast<std::size_t>(n)].id);
    if (it != m_list.end()) {
        it->second.isPresumedDead = true;
    }
}

bool QuotaSimulation::mayEnd(int n) const
{
    return m_now >= m_nodes[static_cast<std::size_t>(n)].mayEndAt;
}

bool QuotaSimulation::isRunning(int n) const
{
    return m_nodes[static_cast<std::size_t>(n)].isRunning;
}

std::mt19937 &QuotaSimulation::random()
{
    return m_random;
}

int QuotaSimulation::nodeOf(const IncarnationId &incarnation) const
{
    for (std::size_t n = 0; n < m_nodes.size(); ++n) {
        if (m_nodes[n].incarnation == incarnation) {
            return static_cast<int>(n);
        }
    }
    return -1;
}

void QuotaSimulation::send(const std::vector<QuotaTransfer> &transfers)
{
    for (const QuotaTransfer &transfer : transfers) {
        const int n = nodeOf(transfer.to);
        if (n >= 0 && !isLost()) {
            onNode(n, m_now + between(Milliseconds(1), m_settings.maxLatency), [this, n, bytes = transfer.encode()] {
                m_nodes[static_cast<std::size_t>(n)].ledger->accept(*QuotaTransfer::decode(bytes), m_now);
            });
        }
    }
}

void QuotaSimulation::askHome(int n, const QuotaLeaseRequest &request, QuotaLeases::AnswerHandler onAnswer)
{
    ++m_messages;
    const auto isAnswered = std::make_shared<bool>(false);
    const int starts = m_nodes[static_cast<std::size_t>(n)].starts;
    const auto answer = [this, n, starts, isAnswered, onAnswer = std::move(onAnswer)](const std::optional<QuotaLease> &lease) {
        const bool isSameRun = m_nodes[static_cast<std::size_t>(n)].starts == starts;
        if (isSameRun && !std::exchange(*isAnswered, true)) {
            onAnswer(lease, m_now);
        }
    };
    onNode(n, m_now + QuotaLeases::AnswerTimeout, [answer] { answer(std::nullopt); });
    const int home = nodeOf(request.home);
    if (home < 0 || (home != n && isLost())) {
        return;
    }
    const bool isAnswerLost = home != n && isLost();
    onNode(home, m_now + between(Milliseconds(1), m_settings.maxLatency), [this, n, home, isAnswerLost, answer, bytes = request.encode()] {
        const QuotaLease lease = m_nodes[static_cast<std::size_t>(home)].ledger->grant(*QuotaLeaseRequest::decode(bytes), m_now);
        if (!isAnswerLost) {
            onNode(n, m_now + between(Milliseconds(1), m_settings.maxLatency), [answer, reply = lease.encode()] { answer(QuotaLease::decode(reply)); });
        }
    });
}

void QuotaSimulation::setDemand(const std::string &workspace, double requestsPerSecond, std::vector<int> instances)
{
    Load &load = m_loads[workspace];
    load.perSecond = requestsPerSecond;
    load.instances = std::move(instances);
    const std::uint64_t number = ++load.number;
    at(m_now, [this, workspace, number] { arrive(workspace, number); });
}

void QuotaSimulation::setLimit(const std::string &workspace, double requestsPerSecond, double burst)
{
    Load &load = m_loads[workspace];
    load.limit = {WorkspaceId(workspace), {}, requestsPerSecond, burst};
    load.version = ConfigurationVersion(load.version.value() + 1);
    const bool isFirst = load.version == ConfigurationVersion(1);
    load.checkedFrom = isFirst ? m_now : m_now + ConfigurationLag + m_settings.quota.window;
    for (Node &node : m_nodes) {
        at(m_now + (isFirst ? Milliseconds(0) : between(Milliseconds(0), ConfigurationLag)), [&node, workspace, limit = load.limit, version = load.version] {
            node.workspaces[workspace] = limit;
            node.versions[workspace] = version;
        });
    }
}

void QuotaSimulation::arrive(const std::string &workspace, std::uint64_t number)
{
    Load &load = m_loads[workspace];
    if (load.number != number || load.perSecond <= 0) {
        return;
    }
    const double wait = std::exponential_distribution<double>(load.perSecond)(m_random);
    at(m_now + std::chrono::microseconds(static_cast<std::int64_t>(wait * 1e6)), [this, workspace, number] { arrive(workspace, number); });
    const int n = load.instances[std::uniform_int_distribution<std::size_t>(0, load.instances.size() - 1)(m_random)];
    Node &node = m_nodes[static_cast<std::size_t>(n)];
    if (!node.isRunning) {
        return;
    }
    onNode(n, m_now, [this, n, workspace] {
        Node &it = m_nodes[static_cast<std::size_t>(n)];
        const Instant since = m_now;
        it.leases->acquire(it.workspaces[workspace], it.versions[workspace], m_now, [this, workspace, since](const QuotaVerdict &verdict) {
            Load &counted = m_loads[workspace];
            m_longestWait = std::max(m_longestWait, std::chrono::duration_cast<Milliseconds>(m_now - since));
            if (verdict.outcome == QuotaVerdict::Outcome::Allowed) {
                counted.allowed.push_back(m_now);
            } else if (verdict.outcome == QuotaVerdict::Outcome::Exceeded) {
                ++counted.refused;
            } else {
                ++counted.unsure;
            }
        });
    });
}

int QuotaSimulation::worstExcess(const std::string &workspace) const
{
    const Load &load = m_loads.at(workspace);
    const double window = static_cast<double>(m_settings.quota.window.count()) / 1000;
    const double bound = (load.limit.requestsPerSecond * window + load.limit.burst) * (1 + m_settings.quota.overshoot) + m_settings.quota.tolerance;
    int worst = -static_cast<int>(bound);
    std::size_t first = 0;
    for (std::size_t n = 0; n < load.allowed.size(); ++n) {
        while (load.allowed[n] - load.allowed[first] > m_settings.quota.window || load.allowed[first] < load.checkedFrom) {
            if (first == n) {
                break;
            }
            ++first;
        }
        if (load.allowed[first] >= load.checkedFrom) {
            worst = std::max(worst, static_cast<int>(n - first + 1) - static_cast<int>(std::floor(bound)));
        }
    }
    return worst;
}

int QuotaSimulation::allowed(const std::string &workspace) const
{
    return static_cast<int>(m_loads.at(workspace).allowed.size());
}

int QuotaSimulation::refused(const std::string &workspace) const
{
    return m_loads.at(workspace).refused;
}

int QuotaSimulation::unsure(const std::string &workspace) const
{
    return m_loads.at(workspace).unsure;
}

Milliseconds QuotaSimulation::longestWait() const
{
    return m_longestWait;
}

std::size_t QuotaSimulation::messageCount() const
{
    return m_messages;
}

} // namespace flamingo
