#pragma once

#include <functional>
#include <string>
#include <vector>

namespace flamingo
{

/// The parts of runDaemon() that differ between daemons.
struct DaemonHooks {
    /// Reads and checks a settings file. Returns the problems, one per string; none if the settings are valid.
    std::function<std::vector<std::string>(const std::string &path)> load;

    /// Runs until a stop signal has arrived and the process has drained. Returns the exit code.
    std::function<int()> run;

    /// The settings file that is read without --settings. If empty, --settings is required.
    std::string defaultSettings;

    /// Whether run() handles the stop signals itself. Otherwise they are blocked, and run() receives them by waitForStopSignal().
    bool handlesStopSignals = false;
};

constexpr int ExitOk = 0;
constexpr int ExitFailure = 1; ///< The daemon failed to start or stopped because of an error.
constexpr int ExitUsage = 2; ///< The command line was invalid.
constexpr int ExitSettings = 3; ///< The settings were invalid.

/// The main function of all daemons. Parses the command line (--settings FILE, --check, --help, --version) and runs the hooks.
/// Returns the exit code.
int runDaemon(const std::string &name, int argc, char **argv, const DaemonHooks &hooks);

} // namespace flamingo
