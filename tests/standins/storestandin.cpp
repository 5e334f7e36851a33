// Runs KvStandIn, the simulated key-value store of the platform, as a separate process on loopback.

#include "core/stopsignal.h"
#include "standins/kvstandin.h"

#include <cxxopts.hpp>

int main(int argc, char **argv)
{
    cxxopts::Options options("store-standin", "Simulates the platform's key-value store");
    options.add_options()("port", "Port on loopback", cxxopts::value<std::uint16_t>());
    options.add_options()("seed", "Seed of the lost responses", cxxopts::value<std::uint64_t>()->default_value("1"));
    const auto arguments = options.parse(argc, argv);
    flamingo::blockStopSignals();
    const flamingo::KvStandIn store(arguments["port"].as<std::uint16_t>(), arguments["seed"].as<std::uint64_t>());
    flamingo::waitForStopSignal();
    return 0;
}
