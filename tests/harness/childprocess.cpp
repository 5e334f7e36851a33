#include "harness/childprocess.h"

#include <chrono>
#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <thread>

extern char **environ;

namespace flamingo
{

namespace
{
std::vector<char *> pointersTo(const std::vector<std::string> &words)
{
    std::vector<char *> pointers;
    for (const std::string &word : words) {
        pointers.push_back(const_cast<char *>(word.c_str()));
    }
    return pointers;
}
} // namespace

ChildProcess::ChildProcess(const std::vector<std::string> &command, const std::string &logFile, const std::vector<std::string> &variables)
{
    std::vector<char *> arguments = pointersTo(command);
    arguments.push_back(nullptr);
    std::vector<char *> environment = pointersTo(variables);
    for (char **it = environ; *it; ++it) {
        environment.push_back(*it);
    }
    environment.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    const int result = posix_spawn(&m_pid, arguments[0], &actions, nullptr, arguments.data(), environment.data());
    posix_spawn_file_actions_destroy(&actions);
    if (result != 0) {
        throw std::runtime_error("cannot start process " + command[0]);
    }
}

ChildProcess::~ChildProcess()
{
    kill();
}

void ChildProcess::sendSignal(int number)
{
    if (m_pid > 0) {
        ::kill(m_pid, number);
    }
}

void ChildProcess::kill()
{
    if (m_pid > 0) {
        ::kill(m_pid, SIGKILL);
        waitpid(m_pid, nullptr, 0);
        m_pid = -1;
    }
}

int ChildProcess::terminate(int timeoutSeconds)
{
    if (m_pid <= 0) {
        return -1;
    }
    ::kill(m_pid, SIGTERM);
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(timeoutSeconds);
    int status = 0;
    while (waitpid(m_pid, &status, WNOHANG) == 0) {
        if (std::chrono::steady_clock::now() > end) {
            kill();
            return -1;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    m_pid = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

bool ChildProcess::isRunning()
{
    if (m_pid > 0 && waitpid(m_pid, nullptr, WNOHANG) == m_pid) {
        m_pid = -1;
    }
    return m_pid > 0;
}

pid_t ChildProcess::pid() const
{
    return m_pid;
}

} // namespace flamingo
