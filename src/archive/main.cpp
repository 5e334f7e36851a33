#include "archive/archivedaemon.h"
#include "core/commandline.h"
#include "core/log.h"

int main(int argc, char **argv)
{
    flamingo::platform::BootSettings settings;
    flamingo::DaemonHooks hooks;
    hooks.load = [&](const std::string &path) { return flamingo::platform::loadBootSettings(path, settings); };
    hooks.run = [&] {
        flamingo::logToStandardOutput();
        return flamingo::ArchiveDaemon(settings).run();
    };
    hooks.defaultSettings = flamingo::platform::bootSettingsPath();
    hooks.takesSignals = true;
    return flamingo::runDaemon("flamingo-archive", argc, argv, hooks);
}
