#include "core/allocator.h"
#include "instance/instancedaemon.h"
#include "platform/runplatformdaemon.h"

int main(int argc, char **argv)
{
    flamingo::returnLargeBuffers();
    return flamingo::platform::runPlatformDaemon<flamingo::InstanceDaemon>("flamingo-instance", argc, argv);
}
