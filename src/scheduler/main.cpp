#include "core/commandline.h"
#include "scheduler/schedulerdaemon.h"
#include "settings/instancesettings.h"

int main(int argc, char **argv)
{
    flamingo::InstanceSettings settings;
    flamingo::DaemonHooks hooks;
    hooks.load = [&](const std::string &path) { return flamingo::loadInstanceSettings(path, settings); };
    hooks.run = [&] { return flamingo::SchedulerDaemon(settings).run(); };
    return flamingo::runDaemon("flamingo-scheduler", argc, argv, hooks);
}
