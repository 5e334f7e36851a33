#include "core/commandline.h"
#include "entry/entrydaemon.h"
#include "settings/instancesettings.h"

int main(int argc, char **argv)
{
    flamingo::InstanceSettings settings;
    flamingo::DaemonHooks hooks;
    hooks.load = [&](const std::string &path) { return flamingo::loadInstanceSettings(path, settings); };
    hooks.run = [&] { return flamingo::EntryDaemon(settings).run(); };
    return flamingo::runDaemon("flamingo-entry", argc, argv, hooks);
}
