#include "core/commandline.h"
#include "scheduler/schedulerdaemon.h"
#include "settings/instancesettings.h"

int main(int argc, char **argv)
{
    flamingo::InstanceSettings settings;
    return flamingo::runDaemon(
        "flamingo-scheduler",
        argc,
        argv,
        {[&](const std::string &path) { return flamingo::loadInstanceSettings(path, settings); }, [&] { return flamingo::SchedulerDaemon(settings).run(); }});
}
