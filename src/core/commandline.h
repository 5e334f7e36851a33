#pragma once

#include <functional>
#include <string>
#include <vector>

namespace flamingo
{

/// What a daemon does once its command line is understood.
struct DaemonHooks {
    /// Reads and checks a settings file; returns the problems, one a line.
    std::function<std::vector<std::string>(const std::string &path)> load;

    /// Runs until a stop signal arrives and the process is drained. Returns the exit code.
    std::function<int()> run;

    /// The settings file when the command line names none; empty when it must.
    std::string defaultSettings;

    /// Whether run() takes the stop signals itself instead of waiting for them by waitForStopSignal().
    bool handlesStopSignals = false;
};

constexpr int ExitOk = 0;
constexpr int ExitFailure = 1; ///< The daemon could not start or had to give up.
constexpr int ExitUsage = 2; ///< The command line was wrong.
constexpr int ExitSettings = 3; ///< The settings were wrong.

/// The main function that the daemons share: --settings FILE, --check, --help, --version.
int runDaemon(const std::string &name, int argc, char **argv, const DaemonHooks &hooks);

} // namespace flamingo
