#pragma once

#include "harness/childprocess.h"
#include "platform/scriptedendpoint.h"
#include "standins/kvstandin.h"

#include <filesystem>
#include <memory>
#include <string>

namespace flamingo
{

/// What a caller got.
struct CallerResponse {
    int status = 0; ///< 0 when no head came.
    HeaderFields fields;
    std::string body;
    bool isComplete = false; ///< The answer ended as its framing says.
};

/// A running flamingo-instance with settings as the platform gives them. Each has a loopback address of its own.
class TestInstance
{
public:
    /// The machines are those with disks that may be lost at once.
    TestInstance(const KvStandin &store, int number, int toleratedMachines = 1);
    ~TestInstance();

    /// Waits until it is ready; false after some seconds.
    bool awaitReady() const;
    bool isReady() const;

    /// Sends raw bytes and reads one answer, or until the time is over.
    CallerResponse send(const std::string &bytes, Milliseconds limit = Milliseconds(5000)) const;

    /// Sends raw bytes, waits and closes without reading.
    void sendAndDisconnect(const std::string &bytes, Milliseconds after) const;

    ChildProcess &process();

    /// Kills the process and starts another one in its place.
    void killAndRestart();

    std::string log() const;

    /// Replaces a text in the settings file of the running process.
    void editSettings(const std::string &text, const std::string &replacement) const;

private:
    void start();

    std::string m_ip;
    std::filesystem::path m_folder;
    std::unique_ptr<ChildProcess> m_process;
};

/// A running flamingo-archive with a disk of its own, in a failure domain of its own.
class TestArchive
{
public:
    TestArchive(const KvStandin &store, int number);
    ~TestArchive();

    ChildProcess &process();
    void start();

    /// Empties the disk of a process that isn't running.
    void wipeDisk() const;

    std::string name() const;

private:
    int m_number;
    std::filesystem::path m_folder;
    std::unique_ptr<ChildProcess> m_process;
};

/// A deployment's configuration with a plain route for calls that must not be repeated, one for repeatable calls, one
/// for streams that can resume and one for stateful turns, each on the pool "app".
std::string testConfiguration(int version, const std::string &extraRoutes = {});

/// Enters an endpoint in the store.
void registerEndpoint(KvStandin &store, const std::string &id, const ScriptedEndpoint &endpoint, const std::string &state = "ready");

/// A request's bytes; the path chooses the route: /book/, /ask/, /stream/ or /chat/.
std::string callerRequest(const std::string &path, const std::string &attemptId, const std::string &headerLines = {}, const std::string &body = "x");

/// Waits until the condition holds, for some seconds.
bool eventually(const std::function<bool()> &condition, Milliseconds limit = Milliseconds(5000));

} // namespace flamingo
