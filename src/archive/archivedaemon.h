#pragma once

#include "core/eventloop.h"
#include "core/metrics.h"
#include "platform/bootsettings.h"
#include "platform/platformstore.h"

namespace flamingo
{

/// A machine with a disk. It decides nothing; it answers when the operator wants the machine emptied.
class ArchiveDaemon
{
public:
    explicit ArchiveDaemon(platform::BootSettings settings);

    /// Runs until it has been told to stop. Returns the exit code.
    int run();

private:
    void awaitSignals();
    void readRetireRequest();
    void watchRetireRequest(platform::Revision after);
    void retryLater();
    void reportRetired(platform::Revision statusRevision);

    platform::BootSettings m_settings;
    EventLoop m_loop;
    Metrics m_metrics;
    platform::PlatformStore m_store;
    asio::signal_set m_signals;
};

} // namespace flamingo
