#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace flamingo
{

/// A process started by a test. The destructor kills it if it is still running.
class ChildProcess
{
public:
    /// Starts the command and appends its standard output and standard error to the log file. Throws std::runtime_error when
    /// the process can't be started. Its environment is that of the test, after the additional variables (NAME=value).
    ChildProcess(const std::vector<std::string> &command, const std::string &logFile, const std::vector<std::string> &variables = {});
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    void sendSignal(int number);

    /// Sends SIGKILL and waits for the process to end.
    void kill();

    /// Sends SIGTERM and waits for the process to end; kills it after the timeout. Returns the exit code, or -1 when the
    /// process didn't exit by itself.
    int terminate(int timeoutSeconds);

    bool isRunning();
    pid_t pid() const;

private:
    pid_t m_pid = -1;
};

} // namespace flamingo
