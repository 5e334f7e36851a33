#include "http/errorbody.h"

#include "core/codec.h"

namespace flamingo
{

namespace
{
constexpr const char *BearerPrefix = "Bearer ";
constexpr std::size_t BearerPrefixLength = 7;
constexpr std::int64_t MsPerSecond = 1000;
} // namespace

std::string errorBody(const Error &error)
{
    const ErrorInfo &info = errorInfo(error.kind);
    nlohmann::json body = {
        {"kind", info.name}, {"message", error.detail}, {"run_state", runStateName(info.runState)}, {"retry_helps", info.retry == RetryAdvice::Helps}};
    if (error.retryAfter) {
        body["retry_after_ms"] = error.retryAfter->count();
    }
    return dumpJson({{"error", std::move(body)}});
}

void respondError(HttpExchange &exchange, const Error &error)
{
    std::vector<HttpExchange::Header> headers;
    if (error.retryAfter) {
        const std::int64_t seconds = (error.retryAfter->count() + MsPerSecond - 1) / MsPerSecond;
        headers.emplace_back("Retry-After", std::to_string(seconds));
    }
    exchange.respond(errorInfo(error.kind).httpStatus, "application/json", errorBody(error), headers);
}

std::string bearerToken(const HttpExchange &exchange)
{
    const std::string value = exchange.header("Authorization");
    return value.compare(0, BearerPrefixLength, BearerPrefix) == 0 ? value.substr(BearerPrefixLength) : std::string();
}

} // namespace flamingo
