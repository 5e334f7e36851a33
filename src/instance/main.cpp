#include "instance/instancedaemon.h"
#include "platform/runprogram.h"

int main(int argc, char **argv)
{
    return flamingo::platform::runProgram<flamingo::InstanceDaemon>("flamingo-instance", argc, argv);
}
