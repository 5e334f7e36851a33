#pragma once

#include <variant>

namespace flamingo
{

/// Builds one visitor for a std::variant out of a lambda for each alternative.
template<typename... Ts>
struct Visitors : Ts... {
    using Ts::operator()...;
};

template<typename... Ts>
Visitors(Ts...) -> Visitors<Ts...>;

} // namespace flamingo
