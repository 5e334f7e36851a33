#pragma once

#include "core/time.h"
#include "harness/childprocess.h"
#include "http/messageparser.h"
#include "standins/kvstandin.h"

#include <chrono>
#include <filesystem>
#include <fstream>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace review
{

using flamingo::Instant;
using flamingo::Milliseconds;

/// Exit codes of a case.
enum class Verdict { Held = 0, Broken = 1, NotRun = 2 };

/// What was sent, answered and run, one line each with the time since the start. Written to the case's record.txt.
class Record
{
public:
    explicit Record(const std::string &path);

    void write(const std::string &line);

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    Instant m_startedAt = std::chrono::steady_clock::now();
};

/// A caller's connection. A request is written as raw bytes, and the answer is read up to a time limit.
class Channel
{
public:
    /// receiveBuffer limits the socket's buffer, as of a caller that reads slowly; 0 for the system's default.
    Channel(const std::string &ip, int port, int receiveBuffer = 0);
    ~Channel();
    Channel(const Channel &) = delete;
    Channel &operator=(const Channel &) = delete;

    struct Answer {
        int status = 0; ///< 0 when no head arrived.
        flamingo::HeaderFields fields;
        std::string body;
        bool isComplete = false; ///< The body ended as its framing announced.
        bool isClosed = false; ///< The peer closed or reset the connection before the end.
        bool keepsConnection = false;

        std::string summary() const;
    };

    bool isConnected() const;
    bool send(const std::string &bytes) const;

    /// bytesPerSecond limits how fast the caller reads; 0 for no limit.
    Answer read(Milliseconds limit, std::size_t bytesPerSecond = 0);

private:
    int m_socket = -1;
};

/// Settings of one process as the platform gives them.
struct Machine {
    std::string name;
    std::string ip;
    std::string zone;
    bool hasDisk = false;
    std::filesystem::path folder;
    std::unique_ptr<flamingo::ChildProcess> process;
};

/// A small deployment on loopback addresses: the platform's store, instances and archives. The processes are started with the
/// commands of the deploy file.
class Deployment
{
public:
    explicit Deployment(Record &record);
    ~Deployment();

    static constexpr int CallersPort = 18149;
    static constexpr int ReadyPort = 18141;

    flamingo::KvStandIn store;

    /// Adds a machine and starts its process. isFirstStart is set when the whole system starts for the first time.
    Machine &add(const std::string &name, const std::string &zone, bool hasDisk, bool isFirstStart = true);

    /// Starts the machine's process again, as the platform does after its end.
    void start(Machine &machine, bool isFirstStart = false);
    void kill(Machine &machine);

    /// Empties the machine's disk; its process must not be running.
    void wipe(Machine &machine);

    bool isReady(const Machine &machine) const;
    bool awaitReady(const Machine &machine, Milliseconds limit = Milliseconds(8000)) const;
    std::string log(const Machine &machine) const;

private:
    std::string freeIp();

    Record &m_record;
    std::filesystem::path m_folder;
    std::vector<std::unique_ptr<Machine>> m_machines;
    std::string m_network;
};

/// A request with the header lines that a sound client sends. Each line ends with CR LF.
std::string
request(const std::string &method, const std::string &path, const std::string &attemptId, int deadlineMs, const std::string &lines, const std::string &body);

/// Route and configuration texts of a manifest. Further fields of a route begin with a comma.
std::string route(const std::string &name, const std::string &type, int timeoutMs, int maxAttempts, const std::string &service, const std::string &more = {});
std::string manifest(int version, const std::vector<std::string> &routes, const std::vector<std::string> &services);

/// Writes the store's entry of a runner.
void registerRunner(flamingo::KvStandIn &store,
                    const std::string &id,
                    const std::string &service,
                    const std::string &address,
                    const std::string &zone,
                    int slots);

/// Whether the environment asks for the disruption (TROUBLE is not 0).
bool hasTrouble();

void sleepUntil(Instant at);

/// Runs a case, catching errors, and writes its record to the file. The result is the exit code.
int runCase(const std::string &recordFile, Verdict (*body)(Record &record));

} // namespace review
