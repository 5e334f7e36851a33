#include "placementsimulation.h"

#include "core/digest.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <numeric>
#include <set>

namespace flamingo
{

namespace
{
const PoolId ModelPool("model");
constexpr double SharedTokens = 12600;
constexpr double PrefillChunkTokens = 2048;
constexpr double DecodeMs = 9;
constexpr double DecodeMsPerSequence = 0.4;
constexpr double SlowSpeed = 1.3;
constexpr double TemporarySlowdown = 2.5;
constexpr int TemporarySlowdownMs = 600;
constexpr int TemporarySlowdownPeriodMs = 5000;
constexpr int DispatchPeriodMs = 40;
constexpr double MaxStretch = 1.65;
constexpr double OwnDomainDelayMs = 1;
constexpr double OtherDomainDelayMs = 3;

struct Turn {
    int programIndex = 0;
    int dispatcher = 0;
    DispatchRequest request;
    int endpoint = 0;
    double ownTokens = 0; ///< Prompt without the shared part.
    double newTokens = 0; ///< The part that no earlier turn had.
    int sharedPart = 0;
    double sharedTokens = SharedTokens;
    int answerTokens = 0;
    double arrivedAt = 0;
    double sentAt = 0;
    double firstTokenAt = -1;
    double prefillLeft = 0;
    int generated = 0;
    bool hasBegun = false;
    bool isCancelled = false;
};
using TurnPtr = std::shared_ptr<Turn>;

struct Program {
    std::string id;
    int workspace = 0;
    int sharedPart = 0;
    int turnsLeft = 0;
    int turnsDone = 0;
    double ownTokens = 0;
    double startedAt = 0;
    double idleMs = 0; ///< Time on idle engines, pauses included.
    double deadline = 0;
    bool isEnded = false;
    int cachedAt = -1;
    double cachedTokens = 0;
    TurnPtr current;
    std::vector<double> plannedOwn;
    std::vector<int> plannedAnswer;
    std::vector<double> plannedPause;
};

class Engine
{
public:
    std::function<void(const TurnPtr &)> onFirstToken;
    std::function<void(const TurnPtr &)> onDone;
    std::function<void(const TurnPtr &)> onBegin;
    int slots = 16;
    double speed = 1;
    double tokensPerMs = 200;
    double capacityTokens = 320000;
    int slowPhaseMs = -1;
    int reportAgeMs = 200;
    double busyMs = 0;
    double secondBusyMs = 0;
    double readAgain = 0;
    double sharedReadAgain = 0;
    int preempted = 0;

    void submit(const TurnPtr &turn, double arrivesAt)
    {
        m_arriving.emplace_back(arrivesAt, turn);
    }

    double slowdown(int now) const
    {
        return slowPhaseMs >= 0 && (now + slowPhaseMs) % TemporarySlowdownPeriodMs < TemporarySlowdownMs ? TemporarySlowdown : 1.0;
    }

    EndpointLoad report() const
    {
        return m_history.front();
    }

    void advance(int now)
    {
        m_arriving.remove_if([&](const auto &item) {
            if (item.first <= now) {
                m_waiting.push_back(item.second);
            }
            return item.first <= now;
        });
        drop(m_waiting);
        drop(m_running);
        if (now >= m_stepEndsAt && m_isStepping) {
            step(now);
        }
        admit();
        if (!m_isStepping && !m_running.empty()) {
            begin(now);
        }
        busyMs += static_cast<double>(m_running.size());
        secondBusyMs += static_cast<double>(m_running.size());
        EndpointLoad load;
        load.runningCalls = static_cast<int>(m_running.size());
        load.waitingCalls = static_cast<int>(m_waiting.size());
        load.slots = slots;
        load.durationPercent = static_cast<int>(100 * slowdown(now));
        m_history.push_back(load);
        if (static_cast<int>(m_history.size()) > std::max(1, reportAgeMs)) {
            m_history.pop_front();
        }
    }

private:
    static void drop(std::deque<TurnPtr> &turns)
    {
        turns.erase(std::remove_if(turns.begin(), turns.end(), [](const TurnPtr &turn) { return turn->isCancelled; }), turns.end());
    }

    static double heldTokens(const Turn &turn)
    {
        return turn.sharedTokens + turn.ownTokens + turn.generated;
    }

    double runningTokens() const
    {
        return std::accumulate(m_running.begin(), m_running.end(), 0.0, [](double sum, const TurnPtr &turn) { return sum + heldTokens(*turn); });
    }

    /// Evicts the least recently used parts until the running requests fit. Returns whether they do.
    bool evict(double neededTokens)
    {
        while (neededTokens + m_cachedTokens > capacityTokens && !m_cache.empty()) {
            m_cachedTokens -= m_cache.back().second;
            m_cache.pop_back();
        }
        return neededTokens <= capacityTokens;
    }

    double use(const std::string &part)
    {
        const auto it = std::find_if(m_cache.begin(), m_cache.end(), [&](const auto &item) { return item.first == part; });
        if (it == m_cache.end()) {
            return 0;
        }
        m_cache.splice(m_cache.begin(), m_cache, it);
        return m_cache.front().second;
    }

    void cache(const std::string &part, double tokens)
    {
        m_cachedTokens += tokens - use(part);
        if (!m_cache.empty() && m_cache.front().first == part) {
            m_cache.front().second = tokens;
        } else {
            m_cache.emplace_front(part, tokens);
        }
        evict(runningTokens());
    }

    static std::string sharedName(const Turn &turn)
    {
        return fmt::format("shared-{}", turn.sharedPart);
    }

    void admit()
    {
        while (!m_waiting.empty() && static_cast<int>(m_running.size()) < slots) {
            const TurnPtr turn = m_waiting.front();
            const double shared = use(sharedName(*turn));
            const double own = shared > 0 || turn->sharedTokens == 0 ? std::min(use(turn->request.program.value()), turn->ownTokens) : 0;
            if (!evict(runningTokens() + heldTokens(*turn))) {
                return;
            }
            m_waiting.pop_front();
            turn->prefillLeft = turn->sharedTokens - shared + turn->ownTokens - own + turn->generated;
            const bool isSharedNew = m_seenShared.insert(turn->sharedPart).second;
            readAgain += std::max(0.0, turn->prefillLeft - (turn->hasBegun ? 0 : turn->newTokens + (isSharedNew ? SharedTokens : 0)));
            sharedReadAgain += isSharedNew || shared > 0 ? 0 : turn->sharedTokens;
            m_running.push_back(turn);
            if (!turn->hasBegun) {
                turn->hasBegun = true;
                onBegin(turn);
            }
        }
    }

    void begin(int now)
    {
        double chunk = 0;
        for (const TurnPtr &turn : m_running) {
            chunk = std::min(PrefillChunkTokens, chunk + turn->prefillLeft);
        }
        const double ms = DecodeMs + DecodeMsPerSequence * static_cast<double>(m_running.size() - 1) + chunk / tokensPerMs;
        m_isStepping = true;
        m_stepStartsAt = std::max(m_stepEndsAt, static_cast<double>(now - 1));
        m_stepEndsAt = m_stepStartsAt + ms * speed * slowdown(now);
    }

    void step(int now)
    {
        double chunkLeft = PrefillChunkTokens;
        std::vector<TurnPtr> done;
        for (const TurnPtr &turn : m_running) {
            if (turn->prefillLeft > 0) {
                const double chunk = std::min(chunkLeft, turn->prefillLeft);
                turn->prefillLeft -= chunk;
                chunkLeft -= chunk;
                if (turn->prefillLeft == 0) {
                    cache(sharedName(*turn), turn->sharedTokens);
                }
                continue;
            }
            ++turn->generated;
            if (turn->firstTokenAt < 0) {
                turn->firstTokenAt = now;
                onFirstToken(turn);
            }
            if (turn->generated >= turn->answerTokens) {
                done.push_back(turn);
            }
        }
        for (const TurnPtr &turn : done) {
            m_running.erase(std::find(m_running.begin(), m_running.end(), turn));
            cache(turn->request.program.value(), turn->ownTokens + turn->generated);
            onDone(turn);
        }
        while (!evict(runningTokens()) && m_running.size() > 1) {
            m_waiting.push_front(m_running.back());
            m_running.pop_back();
            ++preempted;
        }
        m_isStepping = false;
    }

    std::list<std::pair<double, TurnPtr>> m_arriving;
    std::deque<TurnPtr> m_waiting;
    std::deque<TurnPtr> m_running;
    std::list<std::pair<std::string, double>> m_cache;
    double m_cachedTokens = 0;
    std::set<int> m_seenShared;
    std::deque<EndpointLoad> m_history;
    bool m_isStepping = false;
    double m_stepStartsAt = 0;
    double m_stepEndsAt = 0;
};

double percentile95(std::vector<double> values)
{
    if (values.empty()) {
        return 0;
    }
    const auto it = values.begin() + static_cast<std::ptrdiff_t>(values.size() * 95 / 100);
    std::nth_element(values.begin(), it, values.end());
    return *it;
}

double mean(const std::vector<double> &values)
{
    return values.empty() ? 0 : std::accumulate(values.begin(), values.end(), 0.0) / static_cast<double>(values.size());
}

class Simulation
{
public:
    explicit Simulation(const PlacementSettings &settings)
        : m_settings(settings)
        , m_random(settings.seed)
    {
        makeEngines();
        makeDispatchers();
    }

    PlacementResult run()
    {
        for (m_now = 1; m_now < m_settings.seconds * 1000; ++m_now) {
            if (m_settings.killedDispatchersPercent > 0 && m_now == m_settings.seconds * 500) {
                m_firstAliveDispatcher = m_settings.dispatchers * m_settings.killedDispatchersPercent / 100;
            }
            startPrograms();
            runEvents();
            for (Engine &engine : m_engines) {
                engine.advance(m_now);
            }
            if (m_now % 1000 == 0) {
                recordSecond();
            }
            if (m_now % DispatchPeriodMs == 0) {
                for (std::size_t n = 0; n < m_dispatchers.size(); ++n) {
                    dispatch(static_cast<int>(n));
                }
            }
        }
        return result();
    }

private:
    double uniform(double from, double to)
    {
        return std::uniform_real_distribution<double>(from, to)(m_random);
    }

    Instant instant(double ms) const
    {
        return Instant(std::chrono::seconds(1000) + std::chrono::microseconds(static_cast<std::int64_t>(ms * 1000)));
    }

    DomainId domain(int n) const
    {
        return DomainId(fmt::format("d{}", n % m_settings.domains));
    }

    void makeEngines()
    {
        m_engines.resize(static_cast<std::size_t>(m_settings.engines));
        for (int n = 0; n < m_settings.engines; ++n) {
            Engine &engine = m_engines[static_cast<std::size_t>(n)];
            engine.slots = m_settings.slots;
            engine.reportAgeMs = m_settings.reportAgeMs;
            engine.speed = (n / m_settings.domains) % 3 == 2 ? SlowSpeed : 1.0;
            engine.tokensPerMs = uniform(163, 270);
            engine.capacityTokens = uniform(295734, 352994);
            engine.slowPhaseMs = n % 7 == 3 ? static_cast<int>(uniform(0, TemporarySlowdownPeriodMs)) : -1;
            engine.onBegin = [this](const TurnPtr &turn) {
                m_queueMs.push_back(m_now - turn->arrivedAt);
                m_dispatchWaitMs.push_back(turn->sentAt - turn->arrivedAt);
            };
            engine.onFirstToken = [this, n](const TurnPtr &turn) {
                m_dispatchers[static_cast<std::size_t>(turn->dispatcher)]->onLoadReported(
                    endpointId(n), m_engines[static_cast<std::size_t>(n)].report(), instant(m_now));
            };
            engine.onDone = [this, n](const TurnPtr &turn) { onTurnDone(turn, n); };
        }
    }

    static EndpointId endpointId(int n)
    {
        return EndpointId(fmt::format("e{:02}", n));
    }

    void makeDispatchers()
    {
        std::vector<EndpointInfo> endpoints;
        for (int n = 0; n < m_settings.engines; ++n) {
            endpoints.push_back({endpointId(n), ModelPool, domain(n), m_settings.slots, false});
        }
        for (int n = 0; n < m_settings.dispatchers; ++n) {
            m_dispatchers.push_back(std::make_unique<Dispatcher>(m_settings.rules, domain(n)));
            m_dispatchers.back()->setEndpoints(endpoints, 4);
            if (m_settings.knowsDispatchers) {
                m_dispatchers.back()->setDispatchers(static_cast<std::size_t>(m_settings.dispatchers), stableHash(std::to_string(n)));
            }
            // Callers are spread unevenly.
            m_dispatcherWeights.push_back(uniform(0.5, 1.5));
        }
        m_requests.resize(m_dispatchers.size());
    }

    int randomDispatcher()
    {
        std::discrete_distribution<int> distribution(m_dispatcherWeights.begin() + m_firstAliveDispatcher, m_dispatcherWeights.end());
        return m_firstAliveDispatcher + distribution(m_random);
    }

    void startPrograms()
    {
        constexpr double WavePeriodMs = 15000;
        const double rate = m_settings.programsPerSecond * (1 + m_settings.waveShare * std::sin(2 * M_PI * m_now / WavePeriodMs));
        const int count = std::poisson_distribution<int>(rate / 1000)(m_random);
        for (int n = 0; n < count; ++n) {
            startProgram();
        }
    }

    void startProgram()
    {
        constexpr double TokensPerMsOnIdleEngine = 216;
        Program program;
        program.id = fmt::format("p{}", m_programs.size());
        program.sharedPart = static_cast<int>(uniform(0, m_settings.sharedParts));
        program.turnsLeft = m_settings.isPlainService ? 1 : static_cast<int>(uniform(4, 8));
        program.startedAt = m_now;
        if (m_settings.workspaces > 0) {
            std::vector<double> weights(static_cast<std::size_t>(m_settings.workspaces), 1.0);
            weights[0] = m_settings.hotWorkspaceFactor;
            program.workspace = std::discrete_distribution<int>(weights.begin(), weights.end())(m_random);
        }
        for (int n = 0; n < program.turnsLeft; ++n) {
            program.plannedOwn.push_back(m_settings.isPlainService ? 0 : uniform(840, 1680));
            program.plannedAnswer.push_back(static_cast<int>(m_settings.isPlainService ? uniform(3, 8) : uniform(60, 200)));
            program.plannedPause.push_back(uniform(50, 400));
            program.idleMs += program.plannedOwn.back() / TokensPerMsOnIdleEngine + DecodeMs * program.plannedAnswer.back() + program.plannedPause.back() + 2;
        }
        program.deadline = m_settings.hasDeadlines ? m_now + MaxStretch * program.idleMs : 1e12;
        m_programs.push_back(std::move(program));
        ++m_started;
        beginTurn(static_cast<int>(m_programs.size()) - 1);
    }

    void beginTurn(int index)
    {
        Program &program = m_programs[static_cast<std::size_t>(index)];
        const auto turnNumber = static_cast<std::size_t>(program.turnsDone);
        const auto turn = std::make_shared<Turn>();
        turn->programIndex = index;
        turn->dispatcher = randomDispatcher();
        turn->newTokens = program.plannedOwn[turnNumber];
        turn->ownTokens = program.ownTokens + turn->newTokens;
        turn->sharedPart = program.sharedPart;
        turn->sharedTokens = m_settings.isPlainService ? 0 : SharedTokens;
        turn->answerTokens = program.plannedAnswer[turnNumber];
        turn->arrivedAt = m_now;
        DispatchRequest &request = turn->request;
        request.id = CallId(++m_lastCall);
        request.program = ProgramId(program.id);
        request.pool = ModelPool;
        request.arrivedAt = instant(m_now);
        request.deadline = instant(std::min(program.deadline, m_now + 1e6));
        request.promptTokens = Tokens(static_cast<std::int64_t>(turn->ownTokens));
        request.expectedAnswerTokens = Tokens(m_settings.isPlainService ? 0 : 130);
        request.isContinuation = program.turnsDone > 0;
        if (m_settings.workspaces > 0) {
            request.workspace = WorkspaceId(fmt::format("w{}", program.workspace));
        }
        if (program.cachedAt >= 0) {
            request.prefixEndpoint = endpointId(program.cachedAt);
            request.cachedPrefixTokens = Tokens(static_cast<std::int64_t>(program.cachedTokens));
        }
        const auto dispatcher = static_cast<std::size_t>(turn->dispatcher);
        const auto accepted = m_dispatchers[dispatcher]->enqueue(request, instant(m_now));
        if (!accepted) {
            ++m_refused;
            const double retryMs = static_cast<double>(accepted.error().retryAfter.value_or(Milliseconds(200)).count());
            at(m_now + retryMs, [this, index] {
                if (!m_programs[static_cast<std::size_t>(index)].isEnded) {
                    beginTurn(index);
                }
            });
            return;
        }
        program.current = turn;
        m_requests[dispatcher][request.id] = turn;
        if (m_settings.hasDeadlines && program.turnsDone == 0) {
            at(program.deadline, [this, index] { onProgramDeadline(index); });
        }
        dispatch(turn->dispatcher);
    }

    void onProgramDeadline(int index)
    {
        Program &program = m_programs[static_cast<std::size_t>(index)];
        if (program.isEnded) {
            return;
        }
        program.isEnded = true;
        if (const TurnPtr turn = program.current) {
            const auto n = static_cast<std::size_t>(turn->dispatcher);
            turn->isCancelled = true;
            if (!m_dispatchers[n]->remove(turn->request.id)) {
                m_dispatchers[n]->onAttemptFailed(turn->request, endpointId(turn->endpoint), false, instant(m_now));
            }
            m_requests[n].erase(turn->request.id);
            dispatch(turn->dispatcher);
        }
    }

    void dispatch(int n)
    {
        auto &requests = m_requests[static_cast<std::size_t>(n)];
        for (const DispatchDecision &decision : m_dispatchers[static_cast<std::size_t>(n)]->nextDecisions(instant(m_now))) {
            const TurnPtr turn = requests.at(decision.call);
            turn->endpoint = std::stoi(decision.endpoint.value().substr(1));
            turn->sentAt = m_now;
            const bool isOtherDomain = domain(turn->endpoint) != domain(n);
            m_otherDomain += isOtherDomain ? 1 : 0;
            ++m_sent;
            m_engines[static_cast<std::size_t>(turn->endpoint)].submit(turn, m_now + (isOtherDomain ? OtherDomainDelayMs : OwnDomainDelayMs));
        }
    }

    void onTurnDone(const TurnPtr &turn, int endpoint)
    {
        Program &program = m_programs[static_cast<std::size_t>(turn->programIndex)];
        const auto n = static_cast<std::size_t>(turn->dispatcher);
        CallObservation observation;
        observation.timeToFirstToken = Milliseconds(static_cast<std::int64_t>(turn->firstTokenAt - turn->sentAt));
        observation.totalTime = Milliseconds(static_cast<std::int64_t>(m_now - turn->sentAt));
        observation.generatedTokens = Tokens(turn->generated);
        m_dispatchers[n]->onAttemptFinished(turn->request, endpointId(endpoint), observation, instant(m_now));
        m_requests[n].erase(turn->request.id);
        dispatch(turn->dispatcher);
        ++m_turns;
        program.current.reset();
        program.cachedAt = endpoint;
        program.ownTokens = turn->ownTokens + turn->generated;
        program.cachedTokens = program.ownTokens;
        ++program.turnsDone;
        --program.turnsLeft;
        const int index = turn->programIndex;
        const double pause = program.plannedPause[static_cast<std::size_t>(program.turnsDone - 1)];
        at(m_now + pause, [this, index] {
            Program &it = m_programs[static_cast<std::size_t>(index)];
            if (it.isEnded) {
                return;
            }
            if (it.turnsLeft > 0) {
                beginTurn(index);
            } else {
                it.isEnded = true;
                m_stretch.push_back((m_now - it.startedAt) / it.idleMs);
                ++m_ended[it.workspace];
            }
        });
    }

    void at(double ms, std::function<void()> action)
    {
        m_events.emplace(std::max(ms, m_now + 1.0), std::move(action));
    }

    void runEvents()
    {
        while (!m_events.empty() && m_events.begin()->first <= m_now) {
            const auto action = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            action();
        }
    }

    void recordSecond()
    {
        double busiest = 0;
        double sum = 0;
        for (Engine &engine : m_engines) {
            busiest = std::max(busiest, engine.secondBusyMs);
            sum += engine.secondBusyMs;
            engine.secondBusyMs = 0;
        }
        m_busiestBySecond.push_back(busiest * static_cast<double>(m_engines.size()) / std::max(1.0, sum));
    }

    PlacementResult result() const
    {
        PlacementResult result;
        double busiest = 0;
        double sum = 0;
        for (const Engine &engine : m_engines) {
            busiest = std::max(busiest, engine.busyMs);
            sum += engine.busyMs;
            result.tokensReadAgain += engine.readAgain;
            result.sharedReadAgain += engine.sharedReadAgain;
            result.preempted += engine.preempted;
        }
        const auto engines = static_cast<double>(m_engines.size());
        result.busiestToMean = busiest * engines / sum;
        result.busiestToMeanBySecond = mean(m_busiestBySecond);
        result.meanRunning = sum / engines / (m_settings.seconds * 1000.0);
        result.meanQueueMs = mean(m_queueMs);
        result.longQueueMs = percentile95(m_queueMs);
        result.meanDispatchWaitMs = mean(m_dispatchWaitMs);
        result.turns = m_turns;
        result.meanStretch = mean(m_stretch);
        result.longStretch = percentile95(m_stretch);
        result.refused = m_refused;
        result.otherDomainShare = static_cast<double>(m_otherDomain) / std::max(1, m_sent);
        // Programs that began shortly before the end of the run may still be running.
        constexpr double LongestProgramMs = 20000;
        std::map<int, int> counted;
        std::map<int, int> served;
        int late = 0;
        int all = 0;
        for (const Program &program : m_programs) {
            if (program.startedAt > m_settings.seconds * 1000 - LongestProgramMs) {
                continue;
            }
            const bool isServed = program.isEnded && program.turnsLeft == 0;
            ++all;
            late += isServed ? 0 : 1;
            ++counted[program.workspace];
            served[program.workspace] += isServed ? 1 : 0;
        }
        if (m_settings.hasDeadlines) {
            result.lateShare = static_cast<double>(late) / std::max(1, all);
        } else {
            const auto over = std::count_if(m_stretch.begin(), m_stretch.end(), [](double it) { return it > MaxStretch; });
            result.lateShare = static_cast<double>(over) / std::max<double>(1, static_cast<double>(m_stretch.size()));
        }
        for (const auto &[workspace, count] : counted) {
            result.servedByWorkspace.push_back(static_cast<double>(served[workspace]) / count);
        }
        return result;
    }

    PlacementSettings m_settings;
    std::mt19937 m_random;
    int m_now = 0;
    int m_firstAliveDispatcher = 0;
    std::vector<Engine> m_engines;
    std::vector<std::unique_ptr<Dispatcher>> m_dispatchers;
    std::vector<double> m_dispatcherWeights;
    std::vector<std::map<CallId, TurnPtr>> m_requests;
    std::deque<Program> m_programs;
    std::multimap<double, std::function<void()>> m_events;
    std::vector<double> m_queueMs;
    std::vector<double> m_dispatchWaitMs;
    std::vector<double> m_stretch;
    std::vector<double> m_busiestBySecond;
    std::map<int, int> m_ended;
    std::uint64_t m_lastCall = 0;
    int m_started = 0;
    int m_turns = 0;
    int m_refused = 0;
    int m_sent = 0;
    int m_otherDomain = 0;
};
} // namespace

std::string PlacementResult::summary() const
{
    return fmt::format("busiest/mean {:.2f} (by second {:.2f}), running {:.1f}, queue {:.0f} ms (95 %: {:.0f}, at dispatchers {:.0f}), read again {:.2f} M "
                       "(shared parts {:.2f}), "
                       "preempted {}, turns {}, stretch {:.2f} (95 %: {:.2f}), late {:.3f}, other domain {:.2f}, refused {}",
                       busiestToMean,
                       busiestToMeanBySecond,
                       meanRunning,
                       meanQueueMs,
                       longQueueMs,
                       meanDispatchWaitMs,
                       tokensReadAgain / 1e6,
                       sharedReadAgain / 1e6,
                       preempted,
                       turns,
                       meanStretch,
                       longStretch,
                       lateShare,
                       otherDomainShare,
                       refused);
}

PlacementResult simulatePlacement(const PlacementSettings &settings)
{
    return Simulation(settings).run();
}

} // namespace flamingo
