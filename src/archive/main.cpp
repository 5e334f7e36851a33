#include "archive/archivedaemon.h"
#include "platform/runprogram.h"

int main(int argc, char **argv)
{
    return flamingo::platform::runProgram<flamingo::ArchiveDaemon>("flamingo-archive", argc, argv);
}
