#include "control/controldaemon.h"
#include "core/commandline.h"
#include "settings/instancesettings.h"

int main(int argc, char **argv)
{
    flamingo::InstanceSettings settings;
    return flamingo::runDaemon(
        "flamingo-control",
        argc,
        argv,
        {[&](const std::string &path) { return flamingo::loadInstanceSettings(path, settings); }, [&] { return flamingo::ControlDaemon(settings).run(); }});
}
