#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace flamingo
{

/// A process that the tests have started, ended at the latest with this object.
class ChildProcess
{
public:
    /// Starts a program with its output and its errors in a log file.
    ChildProcess(const std::vector<std::string> &command, const std::string &logFile);
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    void sendSignal(int number);

    /// Kills and waits.
    void kill();

    /// Sends SIGTERM and waits; kills after the time. Returns the exit code, or -1 when it had to be killed.
    int terminate(int timeoutSeconds);

    bool isRunning();
    pid_t pid() const;

private:
    pid_t m_pid = -1;
};

} // namespace flamingo
