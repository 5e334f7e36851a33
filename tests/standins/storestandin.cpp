// The stand-in for the platform's store as a program of its own, on a port of loopback.

#include "core/stopsignal.h"
#include "standins/kvstandin.h"

#include <cxxopts.hpp>

int main(int argc, char **argv)
{
    cxxopts::Options options("store-standin", "Stand-in for the platform's store");
    options.add_options()("port", "Port on loopback", cxxopts::value<std::uint16_t>());
    options.add_options()("seed", "Seed", cxxopts::value<std::uint64_t>()->default_value("1"));
    const auto arguments = options.parse(argc, argv);
    flamingo::blockStopSignals();
    const flamingo::KvStandIn store(arguments["port"].as<std::uint16_t>(), arguments["seed"].as<std::uint64_t>());
    flamingo::waitForStopSignal();
    return 0;
}
