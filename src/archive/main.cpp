#include "archive/archivedaemon.h"
#include "platform/runplatformdaemon.h"

int main(int argc, char **argv)
{
    return flamingo::platform::runPlatformDaemon<flamingo::ArchiveDaemon>("flamingo-archive", argc, argv);
}
