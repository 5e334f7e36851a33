#pragma once

#include "harness/childprocess.h"
#include "platform/scriptedendpoint.h"
#include "standins/kvstandin.h"

#include <filesystem>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace flamingo
{

/// The response that a caller received.
struct CallerResponse {
    bool wasConnected = false; ///< The instance's machine has accepted the connection.
    int status = 0; ///< 0 if no head has arrived.
    HeaderFields fields;
    std::string body;
    bool isComplete = false; ///< The body ended as its framing announced.
};

/// A caller's connection to an instance, on which it sends one request after the other.
class CallerConnection
{
public:
    /// With a pause the caller reads slowly: a few kilobytes at a time, from a small receive buffer.
    explicit CallerConnection(const std::string &ip, Milliseconds readPause = Milliseconds(0));
    ~CallerConnection();

    /// Sends raw bytes. Returns false if the connection is closed.
    bool send(const std::string &bytes);

    /// Reads one response, for at most the given time.
    CallerResponse read(Milliseconds limit = Milliseconds(5000));

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

/// A running flamingo-instance with settings as the platform provides them, on its own loopback address.
class TestInstance
{
public:
    /// Where instances listen for their peers.
    static constexpr std::uint16_t PeerPort = 18144;

    /// Where instances listen for callers.
    static constexpr std::uint16_t CallersPort = 18149;

    /// toleratedMachines is the number of machines with disks that may be lost at once. Without a domain, each instance has one of
    /// its own.
    TestInstance(const KvStandIn &store, int number, int toleratedMachines = 1);
    TestInstance(const SocketAddress &store, int number, int toleratedMachines = 1, const std::string &domain = {});
    ~TestInstance();

    /// Where the instance with this number listens.
    static std::string address(int number);

    /// Waits until the instance is ready. Returns false after five seconds.
    bool awaitReady() const;
    bool isReady() const;

    /// Sends raw bytes and reads one response, for at most the given time.
    CallerResponse send(const std::string &bytes, Milliseconds limit = Milliseconds(5000)) const;

    /// Opens a connection that is kept.
    CallerConnection connect(Milliseconds readPause = Milliseconds(0)) const;

    /// Sends raw bytes, waits and disconnects without reading.
    void sendAndDisconnect(const std::string &bytes, Milliseconds after) const;

    ChildProcess &process();

    /// Kills the process and starts a new one with the same settings.
    void killAndRestart();

    std::string log() const;

    /// The value of a metric, by its name and labels as on the metrics page; 0 if it isn't there.
    double metric(const std::string &name) const;

    /// Replaces a text in the settings file of the running process.
    void editSettings(const std::string &text, const std::string &replacement) const;

private:
    void start();

    std::string m_ip;
    std::filesystem::path m_folder;
    std::unique_ptr<ChildProcess> m_process;
};

/// A running flamingo-archive with its own disk and failure domain.
class TestArchive
{
public:
    /// The process gets the additional environment variables (NAME=value).
    TestArchive(const KvStandIn &store, int number, std::vector<std::string> variables = {});
    ~TestArchive();

    /// The folder of the archive with this number; it is deleted with the archive.
    static std::filesystem::path folder(int number);

    /// The part of the folder that stands for the archive's disk.
    static std::filesystem::path diskFolder(int number);

    /// Where the archive with this number listens.
    static std::string address(int number);

    ChildProcess &process();
    void start();

    /// Deletes the archive's data; its process must not be running.
    void wipeDisk() const;

    /// Changes a byte of the first record on the disk; the archive's process must not be running.
    void spoilFirstRecord() const;

    std::string name() const;

private:
    int m_number;
    std::vector<std::string> m_variables;
    std::filesystem::path m_folder;
    std::unique_ptr<ChildProcess> m_process;
};

/// A configuration with one route each for non-repeatable calls, repeatable calls, resumable streams and stateful turns, all
/// on the pool "app".
std::string testConfiguration(int version, const std::string &extraRoutes = {});

/// The configuration with workspaces, given as their names with their keys. The route for repeatable calls becomes public.
std::string withWorkspaces(const std::string &configuration, const std::map<std::string, std::vector<std::string>> &keysByName);

/// Writes an endpoint's entry to the store.
void registerEndpoint(KvStandIn &store,
                      const std::string &id,
                      const ScriptedEndpoint &endpoint,
                      const std::string &state = "ready",
                      const std::string &version = "v1",
                      const std::string &pool = "app");

/// Writes the member entry of an instance that listens for its peers on the address.
void registerInstance(KvStandIn &store, const std::string &id, const std::string &domain, const SocketAddress &peerAddress);

/// The bytes of a request; the path selects the route: /book/, /ask/, /stream/ or /chat/.
std::string callerRequest(const std::string &path, const std::string &attemptId, const std::string &headerLines = {}, const std::string &body = "x");

/// Waits until the condition holds. Returns whether it did within the limit.
bool eventually(const std::function<bool()> &condition, Milliseconds limit = Milliseconds(5000));

} // namespace flamingo
