#pragma once

#include "serving/quotaleases.h"
#include "serving/quotaledger.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace flamingo
{

/// Instances with ledgers and leases on one simulated clock, with a member list whose readers lag, messages that are late or lost, and
/// processes that crash, stop as planned, freeze and are cut off from the list.
class QuotaSimulation
{
public:
    struct Settings {
        int instances = 5;
        Milliseconds maxListLag{3000}; ///< Between a change of the list and the time at which an instance sees it.
        Milliseconds maxLatency{20}; ///< Of a message, one way.
        double lossRate = 0; ///< Share of messages that are lost.
        QuotaSettings quota{Milliseconds(5000), 0.1, 8};
    };

    QuotaSimulation(unsigned seed, Settings settings);

    /// Lets the time pass.
    void run(Milliseconds duration);

    /// Requests of a workspace, which arrive at random times at random ones of the instances, until the rate is changed again.
    void setDemand(const std::string &workspace, double requestsPerSecond, std::vector<int> instances);

    /// The limit takes effect at each instance within the lag of the configuration.
    void setLimit(const std::string &workspace, double requestsPerSecond, double burst);

    void crash(int instance); ///< The process ends at once, and its entry stays on the list.
    void stop(int instance); ///< The process drains, leaves the list in most cases, and ends.
    void start(int instance);
    void freeze(int instance, Milliseconds duration);
    void cutFromList(int instance, Milliseconds duration);
    void presumeDead(int instance);
    bool isRunning(int instance) const;

    /// Whether the process may end without leaving the list. Not known to be safe: one that was presumed dead, has registered again
    /// and crashes within a minute, since its next incarnation takes the first one's start for the time at which it was listed.
    bool mayEnd(int instance) const;

    std::mt19937 &random();

    /// The largest excess of allowed requests in any window over the bound; not above 0 if the bound was kept. Counts windows that
    /// begin a window after the last change of the limit was in force everywhere.
    int worstExcess(const std::string &workspace) const;
    int allowed(const std::string &workspace) const;
    int refused(const std::string &workspace) const;
    int unsure(const std::string &workspace) const;
    Milliseconds longestWait() const;

    /// Lease requests between instances.
    std::size_t messageCount() const;

private:
    struct Node {
        InstanceId id;
        int starts = 0;
        bool isRunning = false;
        bool isDraining = false;
        bool isRegistering = false;
        Instant listedAt; ///< When the list got its entry.
        Instant mayEndAt{}; ///< Compare mayEnd().
        Instant frozenUntil;
        Instant cutUntil;
        IncarnationId incarnation;
        std::map<std::string, Workspace> workspaces;
        std::map<std::string, ConfigurationVersion> versions;
        std::unique_ptr<MemberDirectory> members;
        std::unique_ptr<QuotaLedger> ledger;
        std::unique_ptr<QuotaLeases> leases;
    };
    struct Load {
        double perSecond = 0;
        std::vector<int> instances;
        std::uint64_t number = 0; ///< Of the last change.
        Workspace limit;
        ConfigurationVersion version;
        Instant checkedFrom;
        std::vector<Instant> allowed;
        int refused = 0;
        int unsure = 0;
    };

    void at(Instant due, std::function<void()> action);
    void onNode(int node, Instant due, std::function<void()> action);
    Milliseconds between(Milliseconds from, Milliseconds to);
    bool isLost();
    void registerMember(int node);
    void readList(int node, int start);
    void send(const std::vector<QuotaTransfer> &transfers);
    int nodeOf(const IncarnationId &incarnation) const;
    void askHome(int node, const QuotaLeaseRequest &request, QuotaLeases::AnswerHandler onAnswer);
    void arrive(const std::string &workspace, std::uint64_t number);

    Settings m_settings;
    std::mt19937 m_random;
    Instant m_now;
    std::multimap<Instant, std::function<void()>> m_events;
    std::vector<Node> m_nodes;
    std::map<InstanceId, MemberRecord> m_list;
    std::map<InstanceId, bool> m_hasBeenListed;
    std::map<std::string, Load> m_loads;
    Milliseconds m_longestWait{0};
    std::size_t m_messages = 0;
    bool m_isFirstStart = true;
};

} // namespace flamingo
