#pragma once

#include "core/error.h"
#include "http/httpserver.h"

#include <string>

namespace flamingo
{

/// The JSON body of an error response to callers and operators.
std::string errorBody(const Error &error);

/// Responds with the error's status, body and Retry-After header.
void respondError(HttpExchange &exchange, const Error &error);

/// The token of an "Authorization: Bearer" header; empty when there is none.
std::string bearerToken(const HttpExchange &exchange);

} // namespace flamingo
