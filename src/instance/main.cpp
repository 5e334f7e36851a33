#include "instance/instancedaemon.h"
#include "platform/runplatformdaemon.h"

int main(int argc, char **argv)
{
    return flamingo::platform::runPlatformDaemon<flamingo::InstanceDaemon>("flamingo-instance", argc, argv);
}
