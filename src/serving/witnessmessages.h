#pragma once

#include "serving/witnessbook.h"

#include <optional>
#include <string>
#include <vector>

namespace flamingo
{

/// Asks a witness to note limits. They are meant for one incarnation of the witness, since a later one has lost its notes.
struct NoteLimitsRequest {
    IncarnationId witness;
    std::vector<SpendLimit> limits;

    std::string encode() const;
    static std::optional<NoteLimitsRequest> decode(const std::string &bytes);
};

/// Which limits of the request have been noted, in their order.
struct NoteLimitsResponse {
    std::vector<bool> areNoted;

    std::string encode() const;
    static std::optional<NoteLimitsResponse> decode(const std::string &bytes);
};

/// Asks a witness to fence a holder.
struct FenceRequest {
    IncarnationId witness;
    ProgramId program;
    IncarnationId holder;
    WitnessTerm term;

    std::string encode() const;
    static std::optional<FenceRequest> decode(const std::string &bytes);
};

/// The fenced holder's last limit; nothing if the witness has no note of the term.
struct FenceResponse {
    std::optional<FencedLimit> limit;

    std::string encode() const;
    static std::optional<FenceResponse> decode(const std::string &bytes);
};

} // namespace flamingo
