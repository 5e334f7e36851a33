#pragma once

namespace flamingo
{

/// Blocks SIGTERM and SIGINT, so that waitForStopSignal() can receive them, and ignores SIGPIPE. Must be called before any thread
/// is started, because threads inherit the signal mask.
void blockStopSignals();

/// Waits until SIGTERM or SIGINT arrives.
void waitForStopSignal();

} // namespace flamingo
