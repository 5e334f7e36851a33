#include "control/controldaemon.h"
#include "core/commandline.h"
#include "settings/instancesettings.h"

int main(int argc, char **argv)
{
    flamingo::InstanceSettings settings;
    flamingo::DaemonHooks hooks;
    hooks.load = [&](const std::string &path) { return flamingo::loadInstanceSettings(path, settings); };
    hooks.run = [&] { return flamingo::ControlDaemon(settings).run(); };
    return flamingo::runDaemon("flamingo-control", argc, argv, hooks);
}
