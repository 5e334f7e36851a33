#include "core/commandline.h"
#include "entry/entrydaemon.h"
#include "settings/instancesettings.h"

int main(int argc, char **argv)
{
    flamingo::InstanceSettings settings;
    return flamingo::runDaemon(
        "flamingo-entry",
        argc,
        argv,
        {[&](const std::string &path) { return flamingo::loadInstanceSettings(path, settings); }, [&] { return flamingo::EntryDaemon(settings).run(); }});
}
