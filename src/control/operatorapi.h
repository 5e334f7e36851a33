#pragma once

#include "control/controlcore.h"
#include "core/metrics.h"
#include "core/worker.h"
#include "http/httpserver.h"

#include <functional>
#include <string>

namespace flamingo
{

/// The operators' HTTP interface (see docs/operators.md). Requests are handled on the core's thread.
class OperatorApi
{
public:
    /// Runs a task on the core's thread, with the core's time set, and performs the resulting actions.
    using PostToCore = std::function<void(std::function<void()> task)>;

    OperatorApi(ControlCore &core, Metrics &metrics, std::string token, PostToCore postToCore);

    /// Answers the request, in most cases later and from the core's thread. All pages but /metrics need the token.
    void handle(const HttpExchangePtr &exchange);

private:
    void applyTicket(const HttpExchangePtr &exchange);
    void showConfiguration(const HttpExchangePtr &exchange);
    void showStatus(const HttpExchangePtr &exchange);
    void drain(const HttpExchangePtr &exchange, const std::string &instance);
    void explain(const HttpExchangePtr &exchange, const std::string &program);

    ControlCore &m_core;
    Metrics &m_metrics;
    const std::string m_token;
    PostToCore m_postToCore;
};

} // namespace flamingo
