#pragma once

namespace flamingo
{

/// Lets SIGTERM and SIGINT be waited for, and ignores SIGPIPE. To be called before any thread is started.
void blockStopSignals();

/// Waits until SIGTERM or SIGINT arrives.
void waitForStopSignal();

} // namespace flamingo
