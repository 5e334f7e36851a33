#include "core/commandline.h"

#include "core/log.h"
#include "core/stopsignal.h"

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <cstdio>
#include <exception>

namespace flamingo
{

namespace
{
int runWithSettings(const std::string &name, const std::string &path, bool isCheckOnly, const DaemonHooks &hooks)
{
    const auto problems = hooks.load(path);
    for (const std::string &problem : problems) {
        fmt::print(stderr, "{}\n", problem);
    }
    if (!problems.empty()) {
        return ExitSettings;
    }
    if (isCheckOnly) {
        fmt::print("{}: the settings are fine\n", path);
        return ExitOk;
    }
    setLogName(name);
    if (!hooks.handlesStopSignals) {
        blockStopSignals();
    }
    try {
        return hooks.run();
    } catch (const std::exception &error) {
        logChange("failed", "detail=\"{}\"", error.what());
        return ExitFailure;
    }
}
} // namespace

int runDaemon(const std::string &name, int argc, char **argv, const DaemonHooks &hooks)
{
    cxxopts::Options options(name, "Part of flamingoridge, a scheduler for agent programs.");
    options.add_options()("s,settings", "Settings file (TOML)", cxxopts::value<std::string>());
    options.add_options()("check", "Check the settings and exit");
    options.add_options()("h,help", "Show this help and exit");
    options.add_options()("version", "Show the version and exit");
    try {
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help") != 0) {
            fmt::print("{}\nExit codes: 0 clean stop, 1 failure, 2 invalid command line, 3 invalid settings.\n", options.help());
            return ExitOk;
        }
        if (arguments.count("version") != 0) {
            fmt::print("{} {}\n", name, FLAMINGO_VERSION);
            return ExitOk;
        }
        const bool hasSettings = arguments.count("settings") != 0 || !hooks.defaultSettings.empty();
        if (!hasSettings || !arguments.unmatched().empty()) {
            fmt::print(stderr, "{}: expected --settings FILE and no positional arguments; see --help\n", name);
            return ExitUsage;
        }
        const std::string path = arguments.count("settings") != 0 ? arguments["settings"].as<std::string>() : hooks.defaultSettings;
        return runWithSettings(name, path, arguments.count("check") != 0, hooks);
    } catch (const std::exception &error) {
        fmt::print(stderr, "{}: {}\n", name, error.what());
        return ExitUsage;
    }
}

} // namespace flamingo
