#include "core/stopsignal.h"

#include <csignal>

namespace flamingo
{

namespace
{
sigset_t stopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}
} // namespace

void blockStopSignals()
{
    const sigset_t signals = stopSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

void waitForStopSignal()
{
    const sigset_t signals = stopSignals();
    int received = 0;
    sigwait(&signals, &received);
}

} // namespace flamingo
