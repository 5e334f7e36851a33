#include "ctl/commands.h"

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <cstdio>
#include <exception>
#include <fstream>
#include <string>
#include <vector>

namespace
{
constexpr int ExitUsage = 2;

std::string readToken(const std::string &path)
{
    std::ifstream file(path);
    std::string token;
    file >> token;
    return token;
}
} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("flamingoctl", "Command line client for operators of flamingoridge.");
    options.add_options()("c,control", "IP address and port of a control daemon", cxxopts::value<std::string>());
    options.add_options()("t,token-file", "File that contains the operators' token", cxxopts::value<std::string>());
    options.add_options()("h,help", "Show this help and exit");
    options.add_options()("version", "Show the version and exit");
    options.add_options()("words", "The command and its arguments", cxxopts::value<std::vector<std::string>>());
    options.parse_positional("words");
    options.positional_help("COMMAND ...");
    try {
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help") != 0) {
            fmt::print("{}\n{}", options.help(), flamingo::Commands::help());
            return 0;
        }
        if (arguments.count("version") != 0) {
            fmt::print("flamingoctl {}\n", FLAMINGO_VERSION);
            return 0;
        }
        if (arguments.count("control") == 0 || arguments.count("token-file") == 0 || arguments.count("words") == 0) {
            fmt::print(stderr, "flamingoctl: --control, --token-file and a command are required; see --help\n");
            return ExitUsage;
        }
        flamingo::Commands commands(arguments["control"].as<std::string>(), readToken(arguments["token-file"].as<std::string>()));
        return commands.run(arguments["words"].as<std::vector<std::string>>());
    } catch (const std::exception &error) {
        fmt::print(stderr, "flamingoctl: {}\n", error.what());
        return ExitUsage;
    }
}
